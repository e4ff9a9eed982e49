#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// Key of the rules in force in the platform's store.
constexpr auto currentRulesKey = "rules/current";
/// Prefix below which superseded revisions are kept, one object each.
constexpr auto ruleHistoryPrefix = "rules/history/";

std::string ruleHistoryKey(RuleRevision);

/// Names one run of `lycheefield apply`, so that it recognizes its own write.
using ApplyId = StrongId<struct ApplyIdTag, std::string>;

/// The content of rules/current and of each rules/history/N.
struct StoredRules {
    RuleRevision revision;
    ApplyId applyId;
    std::string who; ///< The operator.
    std::string when; ///< Wall-clock time in UTC, for people only.
    std::string text; ///< The rule file.

    friend bool operator==(const StoredRules&, const StoredRules&) = default;
};

/// Reads the JSON of a stored object. Unknown members are skipped. Thread safe.
Result<StoredRules> parseStoredRules(std::string_view json);
std::string formatStoredRules(const StoredRules&);

}
