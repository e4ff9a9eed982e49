#pragma once

#include "catalog/shard_map.h"
#include "membership/ownership.h"
#include "rules/rule_table.h"

#include <memory>

namespace lycheefield {

/// The tables that one request reads: a snapshot taken when the request arrives and kept until the request ends.
struct QueryTables {
    std::shared_ptr<const RuleTable> rules;
    std::shared_ptr<const ShardMap> shards;
    std::shared_ptr<const Ownership> ownership;
};

}
