#pragma once

#include "daemon/control_channel.h"
#include "daemon/engine_timer.h"
#include "daemon/shared_tables.h"
#include "platform/store_watcher.h"
#include "rules/rule_replicator.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace lycheefield {

/// Dependencies of a RulesRole, which outlive it.
struct RulesContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    ControlChannel& channel;
    TablePublisher& publisher;
    const SharedTables& tables;
    std::shared_ptr<ObjectStore> store;
};

/// Drives the rule replicator: a few instances of each zone watch the platform's store; every instance reads the
/// store at start and seldom afterwards, and sends differences to peers that request them. Thread safe.
class RulesRole : public std::enable_shared_from_this<RulesRole> {
public:
    struct Listener {
        std::function<void(RuleRevision)> onRules; ///< Called when this instance applies rules of a new revision.
        std::function<void()> recordStoreResponse;
    };

    RulesRole(RulesContext, InstanceName self, std::uint32_t watchersPerZone);

    /// Starts reading the store. Precondition: called once.
    void start(Listener);
    void onPeerRevision(const InstanceName&, RuleRevision);
    void onRequest(const InstanceName&, RuleRevision have);
    void onDelta(const InstanceName&, RuleDelta);

    /// Returns true once rules are in force, or once the store reported that it holds none.
    bool isReady() const { return m_isReady.load(); }
    bool isWatching() const { return m_isWatching.load(); }
    RuleReplicatorCounters counts() const;

private:
    template <typename Event>
    void handle(Event);
    void execute(RuleActions);
    void wake();
    void updateWatcher();
    void readStore(TimePoint);
    void onBatch(const WatchBatch&);
    void onStored(StoreStatus, const std::string& value, RuleActions&);

    RulesContext m_context;
    Strand m_strand;
    EngineTimer m_timer;
    InstanceName m_self;
    std::uint32_t m_watchersPerZone;
    SeededRandom m_random;
    RuleReplicator m_replicator;
    Listener m_listener;
    std::shared_ptr<StoreWatcher> m_watcher; ///< Null while this instance does not watch.
    TimePoint m_nextReadTime; ///< Time of the next read of the store while this instance does not watch.
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isWatching { false };
    mutable std::mutex m_mutex; ///< Guards m_counts.
    RuleReplicatorCounters m_counts;
};

}
