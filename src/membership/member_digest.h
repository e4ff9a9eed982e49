#pragma once

#include "membership/view.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheefield {

/// Where a member is and in which zone.
struct MemberAddress {
    Endpoint inner;
    Endpoint http;
    ZoneName zone;

    friend bool operator==(const MemberAddress&, const MemberAddress&) = default;
};

/// What one instance says of another, or of itself.
///
/// Digests of one name are ordered by incarnation, then life, then health; the greatest counts, on
/// every instance. Only the instance itself raises its incarnation, to refute what it hears.
struct MemberDigest {
    InstanceName name;
    ProcessLife life;
    std::uint64_t incarnation = 0;
    InstanceHealth health = InstanceHealth::Alive;
    std::optional<MemberAddress> address; ///< Left out where the receiver is likely to know it.

    friend bool operator==(const MemberDigest&, const MemberDigest&) = default;
};

/// A probe, its answer, or news sent without being asked.
struct GossipMessage {
    std::uint64_t sequence = 0; ///< Of the sender's probe; 0 in news that want no answer.
    bool isAnswer = false;
    std::vector<MemberDigest> digests;
    RuleRevision ruleRevision; ///< In force at the sender.
    std::optional<InstanceName> probeTarget; ///< Ask the receiver to probe this instance for the sender.

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

}
