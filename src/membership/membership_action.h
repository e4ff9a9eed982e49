#pragma once

#include "membership/member_digest.h"
#include "membership/view.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Sends a message to a member of the view. The message may be lost.
struct SendGossip {
    InstanceName to;
    GossipMessage message;
};

/// Publishes a changed view. Precedes any message to a member that is new in the view.
struct PublishView {
    MembershipView view;
};

/// Logs a change of the membership state.
struct LogMembershipChange {
    std::string text;
};

using MembershipAction = std::variant<SendGossip, PublishView, LogMembershipChange>;
using MembershipActions = std::vector<MembershipAction>;

}
