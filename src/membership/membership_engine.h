#pragma once

#include "base/random_source.h"
#include "base/time.h"
#include "membership/member_table.h"
#include "membership/membership_action.h"
#include "membership/membership_settings.h"
#include "membership/news_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// Counts since the process started.
struct MembershipCounts {
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    std::uint64_t suspicions = 0; ///< Raised by this instance.
    std::uint64_t refutations = 0; ///< Of what others said of this instance.
    std::uint64_t pauses = 0; ///< Times that this process itself stood still.
    std::uint64_t digestsSent = 0;

    friend bool operator==(const MembershipCounts&, const MembershipCounts&) = default;
};

/// Finds out which instances are there, by probes of random peers that carry news (SWIM's idea).
///
/// Each period one member is probed. Silent, it is tried again and through others; silent twice in a
/// row, it is a suspect; a suspect that does not refute in time is gone. The platform's list only
/// seeds. No safety property rests on the view. Does no I/O and reads no clock. Not thread safe:
/// used on one strand.
class MembershipEngine {
public:
    /// The random source must outlive the engine.
    MembershipEngine(Instance self, MembershipSettings, RandomSource&, TimePoint now);

    /// The platform's list. It may lag.
    void onListed(const std::vector<Instance>&, TimePoint, MembershipActions&);
    void onMessage(const InstanceName& from, const GossipMessage&, TimePoint, MembershipActions&);
    /// Precondition: called at nextTimer() or, when the process could not run, later.
    void onTimer(TimePoint, MembershipActions&);
    /// The store answered something.
    void onStoreAnswer(TimePoint now) { m_lastStoreAnswer = now; }
    /// Bytes sent to or received from peers for membership and rules.
    void onBytes(ByteCount, TimePoint);
    /// Rules of this revision are in force here; a new one is told to some peers at once.
    void setRuleRevision(RuleRevision, MembershipActions&);
    /// This instance takes no new blocks from now on.
    void leave(MembershipActions&);
    /// This instance is about to end.
    void depart(MembershipActions&);

    TimePoint nextTimer() const;
    /// True when neither a peer nor the store answered for a while.
    bool isIsolated(TimePoint) const;
    /// True when the platform's list named this process before and now names another life of it.
    bool isSuperseded() const { return m_isSuperseded; }
    const MembershipView& view() const { return m_view; }
    const MembershipCounts& counts() const { return m_counts; }

private:
    struct Probe {
        InstanceName target;
        std::uint64_t sequence = 0;
        TimePoint retryAt = never; ///< When it is tried through others.
    };
    struct RelayedProbe {
        InstanceName asker;
        std::uint64_t sequence = 0; ///< Of the asker.
        TimePoint expires = never;
    };

    void startProbe(TimePoint, MembershipActions&);
    void failProbe(TimePoint, MembershipActions&);
    void retryProbe(MembershipActions&);
    std::optional<InstanceName> nextTarget();
    void skipPause(TimePoint, MembershipActions&);
    void expireSuspects(TimePoint, MembershipActions&);

    void mergeAll(const GossipMessage&, TimePoint, MembershipActions&);
    void mergeOwn(const MemberDigest&);
    void onAnswer(const InstanceName& from, const GossipMessage&, TimePoint, MembershipActions&);
    void relayProbe(const InstanceName& asker, const GossipMessage&, TimePoint, MembershipActions&);
    void answer(const InstanceName& to, const GossipMessage&, MembershipActions&);

    GossipMessage newMessage(std::uint64_t sequence, bool isAnswer) const;
    void addProbeDigests(const InstanceName& target, GossipMessage&);
    void addNews(GossipMessage&);
    std::optional<MemberDigest> digestFor(const InstanceName&) const;
    void announce(MembershipActions&);
    std::vector<InstanceName> randomPeers(std::size_t, const InstanceName& except);
    void send(const InstanceName& to, GossipMessage, MembershipActions&);
    void noteHealth(const InstanceName&, MembershipActions&);
    void publishIfChanged(MembershipActions&);

    Instance m_self;
    MembershipSettings m_settings;
    RandomSource& m_random;
    std::uint64_t m_incarnation = 1;
    MemberTable m_table;
    NewsQueue m_news;
    MembershipView m_view;
    std::uint64_t m_publishedChanges = 0; ///< Of m_table, when m_view was built.
    InstanceHealth m_publishedHealth = InstanceHealth::Alive; ///< Of this instance, when m_view was built.
    std::vector<InstanceName> m_order; ///< Members still to be probed in this round.
    std::vector<InstanceName> m_tellOrder; ///< Members still to be told about in this round.
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedProbe> m_relayed; ///< By this instance's own sequence.
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbe;
    TimePoint m_lastPeerAnswer;
    TimePoint m_lastStoreAnswer;
    TimePoint m_bucketTime;
    double m_bucketBytes = 0; ///< May be negative: then only the needed digests are sent.
    RuleRevision m_ruleRevision;
    bool m_wasListed = false;
    bool m_isSuperseded = false;
    MembershipCounts m_counts;
};

}
