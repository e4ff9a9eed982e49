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

/// What a MembershipRole works with. All outlive it.
struct MembershipContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    ControlChannel& channel;
    TablePublisher& publisher;
    std::shared_ptr<HttpInstanceList> list;
};

/// Runs the membership engine: carries its messages, reports this instance to the platform, reads
/// the platform's list and publishes the view. Thread safe.
class MembershipRole : public std::enable_shared_from_this<MembershipRole> {
public:
    /// A peer's message said which rule revision it has.
    using RevisionHandler = std::function<void(const InstanceName&, RuleRevision)>;

    MembershipRole(MembershipContext, const MembershipSettings&, Instance self, Duration listPeriod);

    /// Precondition: called once.
    void start(RevisionHandler);
    void onGossip(const InstanceName& from, GossipMessage);
    /// These rules are in force here.
    void onRules(RuleRevision);
    /// The store answered something.
    void onStoreAnswer();
    /// Takes no new blocks, and tells peers and the platform.
    void beginLeaving();
    /// Tells peers that this process ends now.
    void depart();

    /// Neither a peer nor the store answered for a while.
    bool isIsolated() const { return m_isIsolated.load(); }
    /// Another process took this instance's name.
    bool isSuperseded() const { return m_isSuperseded.load(); }
    MembershipCounts counts() const;

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
    TimePoint m_nextListTime; ///< When the platform's list is read again.
    bool m_isReported = false; ///< The platform took the present state of this instance.
    bool m_isFetchingList = false;
    bool m_isReporting = false;
    std::atomic<bool> m_isIsolated { false };
    std::atomic<bool> m_isSuperseded { false };
    mutable std::mutex m_mutex; ///< Guards m_counts.
    MembershipCounts m_counts;
};

}
