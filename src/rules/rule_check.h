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

/// Finds mistakes that make no sense although the grammar allows them: a rule that no request can
/// reach, waits or coverage that can't be met, hedges of orders, and, when the catalog is at hand,
/// services that are not in it. Ordered by line. Thread safe.
std::vector<RuleError> checkRules(const RuleTable&, const std::optional<ShardCounts>& = std::nullopt);

}
