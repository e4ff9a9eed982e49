#pragma once

#include "daemon/control_channel.h"
#include "membership/membership_engine.h"
#include "rules/rule_replicator.h"

namespace lycheefield {

/// The state of membership and rules in /status.
struct ControlStatus {
    ControlBytes bytes;
    MembershipCounters membership;
    RuleReplicatorCounters rules;
    bool watchesRules = false; ///< This instance watches the rules in the platform's store.
};

}
