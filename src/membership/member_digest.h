#pragma once

#include "membership/view.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheefield {

/// Endpoints and zone of a member.
struct MemberAddress {
    Endpoint inner;
    Endpoint http;
    ZoneName zone;

    friend bool operator==(const MemberAddress&, const MemberAddress&) = default;
};

/// State of one instance as reported by another instance, or by itself.
///
/// Digests of one name are ordered by incarnation, then life, then health, and every instance keeps
/// the greatest. Only the instance itself raises its incarnation, to refute a digest that is wrong.
struct MemberDigest {
    InstanceName name;
    ProcessLife life;
    std::uint64_t incarnation = 0;
    InstanceHealth health = InstanceHealth::Alive;
    std::optional<MemberAddress> address; ///< Omitted when the receiver probably knows the address.

    friend bool operator==(const MemberDigest&, const MemberDigest&) = default;
};

/// A probe, the response to a probe, or an unsolicited announcement.
struct GossipMessage {
    std::uint64_t sequence = 0; ///< Number of the sender's probe; 0 in an announcement, which needs no response.
    bool isAnswer = false;
    std::vector<MemberDigest> digests;
    RuleRevision ruleRevision; ///< Revision in force at the sender.
    std::optional<InstanceName> probeTarget; ///< Requests an indirect probe: the receiver probes this instance for the sender.

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

}
