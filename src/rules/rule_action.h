#pragma once

#include "base/ids.h"
#include "rules/rule_delta.h"
#include "rules/rule_table.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Put this table in force, and tell peers that its revision is there.
struct PublishRules {
    RuleTable table;
};

/// Ask a peer for what is newer than the given revision.
struct RequestRules {
    InstanceName peer;
    RuleRevision have; ///< 0: send the whole text.
};

/// Answer a peer that asked.
struct SendRules {
    InstanceName peer;
    RuleDelta delta;
};

/// A change of state, in words, for the log.
struct LogRuleChange {
    std::string text;
};

using RuleAction = std::variant<PublishRules, RequestRules, SendRules, LogRuleChange>;
using RuleActions = std::vector<RuleAction>;

}
