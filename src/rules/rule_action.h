#pragma once

#include "base/ids.h"
#include "rules/rule_delta.h"
#include "rules/rule_table.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Activates this table and announces its revision to the peers.
struct PublishRules {
    RuleTable table;
};

/// Asks a peer for the rules newer than the given revision.
struct RequestRules {
    InstanceName peer;
    RuleRevision have; ///< 0: the peer sends the whole text.
};

/// Responds to a peer's request.
struct SendRules {
    InstanceName peer;
    RuleDelta delta;
};

/// Logs a change of state.
struct LogRuleChange {
    std::string text;
};

using RuleAction = std::variant<PublishRules, RequestRules, SendRules, LogRuleChange>;
using RuleActions = std::vector<RuleAction>;

}
