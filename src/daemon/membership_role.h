#pragma once

#include "daemon/control_channel.h"
#include "daemon/engine_timer.h"
#include "daemon/shared_tables.h"
#include "membership/membership_engine.h"
#include "platform/http_instance_list.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace lycheefield {

/// Dependencies of a MembershipRole, which outlive it.
struct MembershipContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    ControlChannel& channel;
    TablePublisher& publisher;
    std::shared_ptr<HttpInstanceList> list;
};

/// Drives the membership engine: sends its messages, registers this instance with the platform, reads the
/// platform's list of instances and publishes the view. Thread safe.
class MembershipRole : public std::enable_shared_from_this<MembershipRole> {
public:
    /// Receives the rule revision that a peer's message announced.
    using RevisionHandler = std::function<void(const InstanceName&, RuleRevision)>;

    MembershipRole(MembershipContext, const MembershipSettings&, Instance self, Duration listPeriod);

    /// Publishes the first view and starts the engine. Precondition: called once.
    void start(RevisionHandler);
    void onGossip(const InstanceName& from, GossipMessage);
    /// Records that this process lacked the resources to send gossip to the peer.
    void onNotSent(const InstanceName& to);
    /// Records the revision of the rules that this instance applies, for announcement to peers.
    void onRules(RuleRevision);
    /// Records that the store responded.
    void recordStoreResponse();
    /// Stops taking over blocks of servers, and announces the departure to peers and the platform.
    void beginLeaving();
    /// Announces to peers that this process ends now.
    void depart();

    /// Returns true when neither a peer nor the store has responded within the isolation time.
    bool isIsolated() const { return m_isIsolated.load(); }
    /// Returns true when another process has taken this instance's name.
    bool isSuperseded() const { return m_isSuperseded.load(); }
    MembershipCounters counts() const;

private:
    template <typename Event>
    void handle(Event);
    void execute(MembershipActions);
    void wake();
    void countBytes(TimePoint);
    void maintainList();
    void report();
    void fetchList();

    MembershipContext m_context;
    Strand m_strand;
    EngineTimer m_timer;
    MembershipSettings m_settings;
    Instance m_self;
    Duration m_listPeriod;
    SeededRandom m_random;
    MembershipEngine m_engine;
    RevisionHandler m_onRevision;
    ControlBytes m_countedBytes;
    TimePoint m_nextListTime; ///< Time of the next read of the platform's list.
    bool m_isReported = false; ///< The platform has accepted the current state of this instance.
    bool m_isFetchingList = false;
    bool m_isReporting = false;
    std::atomic<bool> m_isIsolated { false };
    std::atomic<bool> m_isSuperseded { false };
    mutable std::mutex m_mutex; ///< Guards m_counts.
    MembershipCounters m_counts;
};

}
