#pragma once

#include "base/ids.h"
#include "rules/rule_parser.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// Number of shards of each service in the catalog.
using ShardCounts = std::map<ServiceName, std::uint32_t>;

/// Finds mistakes that the grammar allows: a rule that no request can reach, deadlines or coverage that can't be
/// met, hedges and retries of orders, and, when the shard counts are given, services that are not in the catalog.
/// Returns the errors ordered by line. Thread safe.
std::vector<RuleError> checkRules(const RuleTable&, const std::optional<ShardCounts>& = std::nullopt);

}
