#pragma once

#include "base/leg.h"
#include "query/answer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::fault_matrix {

/// A request as its caller sees it.
struct CallRecord {
    RequestId id;
    RequestKind kind = RequestKind::Search;
    std::string key; ///< Idempotency key of an order.
    std::string body;
    std::size_t shards = 0; ///< Of the service at the time.
    TimePoint sent;
    TimePoint deadline;
    std::vector<Answer> answers;
    TimePoint answered = never;
    bool isExcused = false; ///< Its entry was stopped hard or stood still: no answer is owed.
    bool isReplay = false; ///< Answered from the recorded outcome of the same key.
};

/// A leg that got a slot at a server.
struct RunRecord {
    LegKey key;
    RequestKind kind = RequestKind::Search;
    ServerName server;
    ShardNumber shard;
    std::string body;
    IndexVersion version;
    PartitionEpoch epoch;
    TimePoint begun;
};

/// What a server gave back for a leg that ran.
struct OutputRecord {
    LegKey key;
    ShardNumber shard;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches;
};

/// A server that went down while it ran this request.
struct CrashRecord {
    ServerName server;
    RequestId request;
};

/// Everything that happened in one world, judged against what must always hold.
class History {
public:
    std::map<RequestId, CallRecord> calls;
    std::vector<RunRecord> runs;
    std::vector<OutputRecord> outputs;
    std::map<ServerName, TimePoint> drainBegan;
    std::map<ServerName, std::vector<TimePoint>> received;
    std::map<ServerName, std::uint32_t> mostConnections;
    std::map<ServerName, std::uint32_t> connectionCaps;
    std::vector<CrashRecord> crashes; ///< In the order they came.
    std::vector<std::string> cutByDrain; ///< Requests that a graceful shutdown cut off.

    /// Every violation found, in words; empty when all holds.
    std::vector<std::string> violations(TimePoint end) const;

private:
    void checkAnswers(std::vector<std::string>&, TimePoint end) const;
    void checkCoverage(const CallRecord&, const Answer&, std::vector<std::string>&) const;
    void checkRunState(const CallRecord&, const Answer&, std::vector<std::string>&) const;
    bool hadRunBefore(const CallRecord&) const;
    void checkOrders(std::vector<std::string>&) const;
    void checkServers(std::vector<std::string>&) const;
    void checkCrashes(std::vector<std::string>&) const;
};

}
