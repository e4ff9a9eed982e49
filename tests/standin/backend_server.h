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

/// Behaviour of one stand-in server. Changed while the server runs to inject faults.
struct BackendBehaviour {
    std::uint32_t slots = 2;
    std::uint32_t maxQueue = 16; ///< Requests that may wait for a slot; the server sheds any further ones.
    Duration meanServiceTime { 8000 };
    double slowFactor = 1; ///< Multiplies the service time of every request.
    double slowProbability = 0; ///< Share of requests that straggle.
    double slowMultiplier = 20; ///< Multiplies the service time of a straggling request.
    Duration coldStart {}; ///< For this time after a start, the service time is multiplied by coldFactor.
    double coldFactor = 5;
    bool draining = false;
    bool marksDrain = true; ///< Responses carry the drain mark while the server drains.
    bool healthLies = false; ///< /v1/health always reports an idle server that does not drain.
    double shedProbability = 0;
    double failProbability = 0;
    std::string crashMark = "crash-server"; ///< A request whose body contains this text crashes the server at the end of its service time.
    Duration restartTime { 2000000 }; ///< Time from a crash until the server accepts connections again.
};

/// A request as received by the server.
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
    std::string traceparent; ///< Copied from the request.
    std::string body;
    std::vector<IndexVersion> versions;
    bool draining = false;
    Duration retryAfter {};
};

struct BackendCounters {
    std::uint64_t received = 0;
    std::uint64_t ran = 0; ///< Requests whose service time has passed, including those that then failed.
    std::uint64_t shed = 0;
    std::uint64_t expired = 0; ///< Requests whose deadline passed in the queue; not those that arrived too late.
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::uint64_t receivedWhileDraining = 0;
    Duration busy {}; ///< Total slot time spent.
    Duration wasted {}; ///< Part of `busy` spent on requests that were cancelled, lost their connection or finished after their deadline.

    BackendCounters& operator+=(const BackendCounters&);
};

/// One backend server without I/O: slots, queue, faults and index versions. Callers pass the time, so
/// the stand-in program and tests in virtual time share the class; the time must not decrease from call to call.
/// Methods with a vector of responses append to it. Not thread safe.
class BackendServer {
public:
    BackendServer(ServerName, BackendBehaviour, std::uint64_t seed);

    const ServerName& name() const { return m_name; }
    BackendBehaviour& behaviour() { return m_behaviour; }

    /// Replaces the index versions, partition epochs and batches that the server serves.
    void setIndex(std::set<IndexVersion>, std::set<PartitionEpoch>, std::map<ShardNumber, std::vector<BatchId>>);
    const std::set<IndexVersion>& versions() const { return m_versions; }

    void start(TimePoint);
    /// Stops at once, drops all running and queued requests, and restarts after `downFor`.
    void kill(TimePoint, Duration downFor);
    /// Sets a callback for each request that gets a slot.
    void onRequestStarted(std::function<void(const BackendRequest&, TimePoint)> listener) { m_onBegin = std::move(listener); }
    /// Sets a callback for each successful result, also when its connection has closed.
    void onOutput(std::function<void(const BackendResponse&, ShardNumber)> listener) { m_onOutput = std::move(listener); }
    /// Sets a callback for each request received while the server drains.
    void onReceivedWhileDraining(std::function<void(TimePoint)> listener) { m_onReceivedWhileDraining = std::move(listener); }
    /// Rejects the request at once, or gives it a slot or a place in the queue. Precondition: the server is not down.
    void receive(const BackendRequest&, TimePoint, std::vector<BackendResponse>&);
    /// Stops a queued request or a running search. A running order goes on, and an unknown key is ignored.
    void cancel(const LegKey&, TimePoint, std::vector<BackendResponse>&);
    /// Drops the requests of a closed connection without a response. A running order goes on.
    void dropConnection(std::uint64_t connection, TimePoint);
    /// Finishes the requests whose service time has passed, or crashes at the first of them with the crash mark.
    void advance(TimePoint, std::vector<BackendResponse>&);
    /// Returns when advance() is to be called next; `never` when no request is running.
    TimePoint nextWake() const;

    /// True from a crash or kill() until the restart. BackendListener closes every connection of a server that is down.
    bool isDown(TimePoint now) const { return now < m_upAt; }
    std::uint32_t busySlots() const { return static_cast<std::uint32_t>(m_running.size()); }
    const BackendCounters& counters() const { return m_counters; }
    /// Number of runs of each order, by request body.
    const std::map<std::string, std::uint32_t>& ordersRun() const { return m_ordersRun; }

private:
    struct RunningRequest {
        BackendRequest request;
        TimePoint start;
        TimePoint end;
        bool crashes = false;
    };

    BackendResponse makeResponse(const BackendRequest&, unsigned status, std::string reason) const;
    std::string rejectionReason(const BackendRequest&, TimePoint);
    void begin(BackendRequest, TimePoint);
    void finish(const RunningRequest&, std::vector<BackendResponse>&);
    void fillSlots(TimePoint, std::vector<BackendResponse>&);
    void crash(TimePoint);
    void dropAllRequests(TimePoint);
    Duration drawServiceTime(TimePoint);

    ServerName m_name;
    BackendBehaviour m_behaviour;
    SeededRandom m_random;
    std::set<IndexVersion> m_versions;
    std::set<PartitionEpoch> m_epochs;
    std::map<ShardNumber, std::vector<BatchId>> m_batches;
    TimePoint m_upAt { Duration(0) };
    std::deque<BackendRequest> m_queue;
    std::vector<RunningRequest> m_running;
    BackendCounters m_counters;
    std::map<std::string, std::uint32_t> m_ordersRun;
    std::function<void(const BackendRequest&, TimePoint)> m_onBegin;
    std::function<void(const BackendResponse&, ShardNumber)> m_onOutput;
    std::function<void(TimePoint)> m_onReceivedWhileDraining;
};

}
