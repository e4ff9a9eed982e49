#pragma once

#include "model_store.h"

#include "base/random_source.h"
#include "gateway/news_distribution.h"
#include "platform/watch_engine.h"
#include "wire/peer_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

/// Instances that follow the objects of a store: their real decisions, joined by links in virtual time.
///
/// A link delays, holds or loses what is on its way, in order. A paused process handles what has come when it runs again. A process that is started
/// again has another clock, and knows nothing.
class StoreNewsFleet {
public:
    struct Settings {
        std::uint64_t seed = 1;
        std::size_t instances = 9;
        std::size_t zones = 3;
        Duration limit = std::chrono::seconds(3);
        Duration proofLimit {};
    };
    /// How what one instance sends reaches another one.
    struct Link {
        Duration delay {};
        Duration jitter = std::chrono::milliseconds(8); ///< Drawn for each frame, up to this.
        TimePoint heldUntil {};
    };

    explicit StoreNewsFleet(const Settings&);
    ~StoreNewsFleet();
    StoreNewsFleet(const StoreNewsFleet&) = delete;
    StoreNewsFleet& operator=(const StoreNewsFleet&) = delete;

    ModelStore& store() { return m_store; }
    std::size_t size() const { return m_nodes.size(); }
    TimePoint now() const { return m_events.now(); }
    void runFor(Duration time) { m_events.runFor(time); }
    void after(Duration time, std::function<void()> action) { m_events.after(time, std::move(action)); }

    /// The link over which the first sends to the second.
    Link& link(std::size_t from, std::size_t to) { return m_links[{ from, to }]; }
    /// Closes the connections between the two. What is on its way is lost.
    void reset(std::size_t a, std::size_t b);
    void pause(std::size_t node, Duration);
    /// Ends the process and starts the next one after that time.
    void restart(std::size_t node, Duration downTime);
    /// Loses all calls of the instance to the store for that time.
    void cutFromStore(std::size_t node, Duration);

    /// Returns a description of an object of which an instance knows a state that ended more than the limit ago; empty if there is none. Only
    /// instances count that have run, and reached a sound store, for the settling time.
    std::string findLate() const;

    /// Returns how many calls the instances make by their schedules while nothing changes: those that watch all the time, and the others too if the
    /// links between instances are late, after each silence.
    std::size_t scheduledCalls(Duration, bool areLinksLate) const;

    /// Time from the end of a fault of a process, of its way to the store or of the store until changes are in force within the limit.
    static constexpr Duration settlingTime = std::chrono::seconds(4);

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Node;
    struct News {
        WatchBatch batch;
        StoreRevision from;
        TimePoint currentAsOf {};
    };
    using Receive = std::function<void(const FrameTimes&, const SendTime&)>;

    TimePoint clockOf(const Node&) const;
    void startProcess(Node&);
    /// Runs the action when the process runs, unless it has ended by then.
    void whenRunning(Node&, std::uint64_t process, std::function<void()> action);
    /// Lets the engine handle an event, executes its actions and sets its timer.
    void drive(Node&, const std::function<void(WatchEngine&, TimePoint, WatchActions&)>&);
    void setTimer(Node&);
    void execute(Node&, const WatchAction&);
    void callStore(Node&, Duration timeout, const std::function<void(const ModelStore::Respond&)>& call);
    void onResponse(Node&, std::uint64_t call, const WatchBatch&);
    void apply(Node&, const WatchBatch&);
    void requestState(Node&);
    void sendState(Node& from, Node& to, const ConnectionPtr&);
    void announce(Node&, const AnnounceBatch&);
    void sendNews(Node& from, Node& to, const News&);
    void onNews(Node&, const Node& from, News, const FrameTimes&, const SendTime&);

    /// Returns the connection that the first has opened to the second, or opens one. A closed one stays for the pause before the next.
    ConnectionPtr connectionTo(Node& from, Node& to);
    /// Runs the action when the connection is open. An action that waits when the connection closes is lost.
    void whenOpen(Node& from, Node& to, std::function<void(const ConnectionPtr&)> action);
    void close(Connection&);
    /// Sends a frame on the connection, towards its acceptor or back.
    void transmit(const ConnectionPtr&, bool isForward, const Receive&);
    /// Runs the handler at that time, or when the link is no longer held.
    void arrive(const Link&, TimePoint, const std::function<void()>& handler);
    void receive(const ConnectionPtr&, bool isForward, const FrameTimes&, const Receive&);
    bool isWayToStoreCut(const Node&) const;
    Duration drawn(Duration below) { return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(below.count())))); }

    Settings m_settings;
    SeededRandom m_random;
    VirtualEvents m_events;
    ModelStore m_store;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<InstanceName, std::size_t> m_numbers;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links;
    std::map<std::pair<std::size_t, std::size_t>, std::shared_ptr<Connection>> m_connections; ///< By who opened it, and to whom.
};

}
