#pragma once

#include "base/random_source.h"
#include "base/time.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/membership_action.h"
#include "membership/membership_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// Counters since the process started.
struct MembershipCounters {
    std::uint64_t probes = 0; ///< Probes that this instance started, without their repetitions.
    std::uint64_t indirectProbes = 0; ///< Probes that this instance sent on request of another.
    std::uint64_t suspicions = 0; ///< Members that this instance marked suspect, or gone if they were leaving, after failed probes.
    std::uint64_t refutations = 0; ///< Digests about this instance that it refuted.
    std::uint64_t pauses = 0; ///< Pauses of this process that the engine detected.
    std::uint64_t digestsSent = 0;

    friend bool operator==(const MembershipCounters&, const MembershipCounters&) = default;
};

/// Tracks the members and detects their failures by probing them in random order; probes and their
/// responses also carry gossip (SWIM).
///
/// One member is probed per period. A member that does not respond is probed again, directly and
/// through other members. After two consecutive failed probes the member becomes a suspect, or gone if
/// it was leaving; a suspect that does not refute in time is marked gone. The platform's list only seeds
/// the members. No safety property depends on the view. Does no I/O and reads no clock. Not thread safe:
/// use it on one strand.
class MembershipEngine {
public:
    /// Precondition: the random source outlives the engine.
    MembershipEngine(Instance self, MembershipSettings, RandomSource&, TimePoint now);

    /// Merges the platform's list of instances, which may lag.
    void onListed(const std::vector<Instance>&, TimePoint, MembershipActions&);
    /// Merges the digests of a peer's message, and handles the probe, probe request or response in it.
    void onMessage(const InstanceName& from, const GossipMessage&, TimePoint, MembershipActions&);
    /// Records that this process lacked the resources to send a message to the member, which is no evidence against the member.
    void onNotSent(const InstanceName& to);
    /// Precondition: called at nextTimer(), or later if the process was paused.
    void onTimer(TimePoint, MembershipActions&);
    /// Records that the store responded.
    void recordStoreResponse(TimePoint now) { m_lastStoreResponse = now; }
    /// Charges the byte budget with traffic for membership and rules, sent to peers or received from them.
    void onBytes(ByteCount, TimePoint);
    /// Sets the rule revision in force here and announces a newer one to some peers at once.
    void setRuleRevision(RuleRevision, MembershipActions&);
    /// Announces that this instance takes no new blocks from now on.
    void leave(MembershipActions&);
    /// Announces that this instance is about to exit.
    void depart(MembershipActions&);

    /// Returns when to call onTimer next.
    TimePoint nextTimer() const;
    /// True when neither a peer nor the store responded within the isolation time.
    bool isIsolated(TimePoint) const;
    /// True once the platform's list has had this process and later another life under its name.
    bool isSuperseded() const { return m_isSuperseded; }
    const MembershipView& view() const { return m_view; }
    const MembershipCounters& counts() const { return m_counts; }

private:
    struct Probe {
        InstanceName target;
        std::uint64_t sequence = 0;
        TimePoint retryAt = never; ///< When the target is probed again, directly and through others.
    };
    struct IndirectProbe {
        InstanceName requester;
        std::uint64_t sequence = 0; ///< Number of the requester's probe.
        TimePoint expires = never;
    };

    void startProbe(TimePoint, MembershipActions&);
    void failProbe(TimePoint, MembershipActions&);
    void retryProbe(MembershipActions&);
    std::optional<InstanceName> nextProbeTarget();
    void resetAfterPause(TimePoint, MembershipActions&);
    void expireSuspects(TimePoint, MembershipActions&);

    void mergeDigests(const GossipMessage&, TimePoint, MembershipActions&);
    void mergeSelfDigest(const MemberDigest&);
    void onProbeResponse(const InstanceName& from, const GossipMessage&, TimePoint, MembershipActions&);
    void startIndirectProbe(const InstanceName& requester, const GossipMessage&, TimePoint, MembershipActions&);
    void respond(const InstanceName& to, const GossipMessage&, MembershipActions&);

    GossipMessage newMessage(std::uint64_t sequence, bool isAnswer) const;
    void addProbeDigests(const InstanceName& target, GossipMessage&);
    void addQueuedDigests(GossipMessage&);
    std::optional<MemberDigest> digestFor(const InstanceName&) const;
    void announce(MembershipActions&);
    std::vector<InstanceName> randomPeers(std::size_t, const InstanceName& except);
    void send(const InstanceName& to, GossipMessage, MembershipActions&);
    void logHealthChange(const InstanceName&, MembershipActions&);
    void publishIfChanged(MembershipActions&);

    Instance m_self;
    MembershipSettings m_settings;
    RandomSource& m_random;
    std::uint64_t m_incarnation = 1;
    MemberTable m_table;
    GossipQueue m_gossipQueue;
    MembershipView m_view;
    std::uint64_t m_publishedChanges = 0; ///< m_table.changes() when m_view was built.
    InstanceHealth m_publishedHealth = InstanceHealth::Alive; ///< Health of this instance when m_view was built.
    std::vector<InstanceName> m_probeOrder; ///< Members that are still to be probed in this round.
    std::vector<InstanceName> m_digestOrder; ///< Members whose digests are still to be sent in this round.
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, IndirectProbe> m_indirectProbes; ///< By the sequence number of this instance's own probe.
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbe;
    TimePoint m_lastPeerResponse;
    TimePoint m_lastStoreResponse;
    TimePoint m_bucketUpdatedAt;
    double m_bucketBytes = 0; ///< Token bucket; while negative, a message has at most one queued digest.
    RuleRevision m_ruleRevision;
    bool m_wasListed = false;
    bool m_isSuperseded = false;
    MembershipCounters m_counts;
};

}
