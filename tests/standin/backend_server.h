#pragma once

#include "base/leg.h"
#include "base/random_source.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::standin {

/// How one stand-in server behaves. Changed while it runs to cause faults.
struct BackendBehaviour {
    std::uint32_t slots = 2;
    std::uint32_t maxQueue = 16; ///< Requests that wait for a slot; more are shed.
    Duration meanServiceTime { 8000 };
    double slowFactor = 1; ///< Every request takes this many times longer.
    double slowProbability = 0; ///< Share of requests that hit a straggling moment…
    double slowMultiplier = 20; ///< …and take this many times longer.
    Duration coldStart {}; ///< After a start, service takes coldFactor times longer for this time.
    double coldFactor = 5;
    bool draining = false;
    bool marksDrain = true; ///< Answers carry the drain mark while draining.
    bool healthLies = false; ///< /v1/health reports an idle server, whatever is true.
    double shedProbability = 0;
    double failProbability = 0;
    std::string crashMark = "crash-server"; ///< A body that contains it crashes the server while it runs.
    Duration restartTime { 2000000 }; ///< From a crash until it accepts connections again.
};

/// A request as the server received it.
struct BackendRequest {
    std::uint64_t connection = 0;
    LegKey key;
    RequestKind kind = RequestKind::Search;
    ShardNumber shard;
    IndexVersion version;
    PartitionEpoch epoch;
    TimePoint deadline = never;
    std::string body;
    std::string traceparent = {};
};

struct BackendResponse {
    std::uint64_t connection = 0;
    LegKey key;
    unsigned status = 200;
    std::string reason;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches;
    std::string traceparent; ///< As it came with the request.
    std::string body;
    std::vector<IndexVersion> versions;
    bool draining = false;
    Duration retryAfter {};
};

struct BackendCounters {
    std::uint64_t received = 0;
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::uint64_t receivedWhileDraining = 0;
    Duration busy {}; ///< Slot time spent in all.
    Duration wasted {}; ///< Of busy: spent on requests cancelled, or finished past their deadline.

    BackendCounters& operator+=(const BackendCounters&);
};

/// One backend server without any I/O: slots, queue, faults and index versions on a given clock.
/// Serves the stand-in program and the tests in virtual time alike. Not thread safe.
class BackendServer {
public:
    BackendServer(ServerName, BackendBehaviour, std::uint64_t seed);

    const ServerName& name() const { return m_name; }
    BackendBehaviour& behaviour() { return m_behaviour; }

    /// What the server serves from now on.
    void setIndex(std::set<IndexVersion>, std::set<PartitionEpoch>, std::map<ShardNumber, std::vector<BatchId>>);
    const std::set<IndexVersion>& versions() const { return m_versions; }

    void start(TimePoint);
    /// Goes down at once with all that it runs, and is up again after the time.
    void stopHard(TimePoint, Duration downFor);
    /// Called whenever a request gets a slot.
    void onBegin(std::function<void(const BackendRequest&, TimePoint)> listener) { m_onBegin = std::move(listener); }
    /// Called whenever a result is given, whether or not its connection is still there.
    void onOutput(std::function<void(const BackendResponse&, ShardNumber)> listener) { m_onOutput = std::move(listener); }
    /// Called for each request that comes while the server drains.
    void onReceivedWhileDraining(std::function<void(TimePoint)> listener) { m_onReceivedWhileDraining = std::move(listener); }
    void receive(const BackendRequest&, TimePoint, std::vector<BackendResponse>&);
    void cancel(const LegKey&, TimePoint, std::vector<BackendResponse>&);
    /// The connection closed: what it had is stopped and not answered.
    void dropConnection(std::uint64_t connection, TimePoint);
    /// Finishes what has come due.
    void advance(TimePoint, std::vector<BackendResponse>&);
    TimePoint nextWake() const;

    /// True from a crash until the restart; every connection is then closed.
    bool isDown(TimePoint now) const { return now < m_upAt; }
    std::uint32_t busySlots() const { return static_cast<std::uint32_t>(m_running.size()); }
    const BackendCounters& counters() const { return m_counters; }
    /// How often each order ran, by the body it had.
    const std::map<std::string, std::uint32_t>& ordersRun() const { return m_ordersRun; }

private:
    struct Running {
        BackendRequest request;
        TimePoint start;
        TimePoint end;
        bool crashes = false;
    };

    BackendResponse reply(const BackendRequest&, unsigned status, std::string reason) const;
    std::string refusalOf(const BackendRequest&, TimePoint);
    void begin(BackendRequest, TimePoint);
    void finish(const Running&, std::vector<BackendResponse>&);
    void fillSlots(TimePoint, std::vector<BackendResponse>&);
    void crash(TimePoint);
    void dropAll(TimePoint);
    Duration drawServiceTime(TimePoint);

    ServerName m_name;
    BackendBehaviour m_behaviour;
    SeededRandom m_random;
    std::set<IndexVersion> m_versions;
    std::set<PartitionEpoch> m_epochs;
    std::map<ShardNumber, std::vector<BatchId>> m_batches;
    TimePoint m_upAt { Duration(0) };
    std::deque<BackendRequest> m_queue;
    std::vector<Running> m_running;
    BackendCounters m_counters;
    std::map<std::string, std::uint32_t> m_ordersRun;
    std::function<void(const BackendRequest&, TimePoint)> m_onBegin;
    std::function<void(const BackendResponse&, ShardNumber)> m_onOutput;
    std::function<void(TimePoint)> m_onReceivedWhileDraining;
};

}
