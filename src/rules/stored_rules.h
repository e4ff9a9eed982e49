#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// Key of the current rules in the platform's store.
constexpr auto currentRulesKey = "rules/current";
/// Key prefix of the superseded revisions, one object each.
constexpr auto ruleHistoryPrefix = "rules/history/";

std::string ruleHistoryKey(RuleRevision);

/// Identifies one run of `lycheefield apply`, so that the run recognizes its own write.
using ApplyId = StrongId<struct ApplyIdTag, std::string>;

/// Content of rules/current and of each rules/history/N.
struct StoredRules {
    RuleRevision revision;
    ApplyId applyId;
    std::string who; ///< The operator.
    std::string when; ///< Wall-clock time in UTC; for display only.
    std::string text; ///< The rule file.

    friend bool operator==(const StoredRules&, const StoredRules&) = default;
};

/// Parses the JSON of a stored object and ignores unknown members. Thread safe.
Result<StoredRules> parseStoredRules(std::string_view json);
std::string formatStoredRules(const StoredRules&);

}
