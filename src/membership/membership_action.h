#pragma once

#include "membership/member_digest.h"
#include "membership/view.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Send this to a member of the view. It may be lost.
struct SendGossip {
    InstanceName to;
    GossipMessage message;
};

/// The view changed. Comes before messages to members that are new in it.
struct PublishView {
    MembershipView view;
};

/// A change of state, in words, for the log.
struct LogMembershipChange {
    std::string text;
};

using MembershipAction = std::variant<SendGossip, PublishView, LogMembershipChange>;
using MembershipActions = std::vector<MembershipAction>;

}
