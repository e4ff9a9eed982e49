#pragma once

#include "base/leg.h"
#include "claims/claim_record.h"
#include "query/answer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::history {

/// A request as its caller sees it: what the caller sent and the answers that it received.
struct CallRecord {
    RequestId id;
    RequestKind kind = RequestKind::Search;
    std::string key; ///< Idempotency key of an order.
    std::string body; ///< The checks identify an order by its body.
    std::size_t shards = 0; ///< Number of shards of the service when the request was sent.
    TimePoint sent;
    TimePoint deadline;
    std::vector<Answer> answers;
    TimePoint answered = never; ///< Time of the answer; `never` without an answer.
    bool isExcused = false; ///< True when the entry was killed or paused, so that the caller may get no answer.
    bool isReplay = false; ///< True when the answer came from the recorded outcome of the same key.
    bool mayBeUnknown = true; ///< True when a fault explains an unknown outcome.
};

/// A leg that a server started to run in one of its slots.
struct RunRecord {
    LegKey key;
    RequestKind kind = RequestKind::Search;
    ServerName server;
    ShardNumber shard;
    std::string body;
    IndexVersion version;
    PartitionEpoch epoch;
    TimePoint startedAt;
};

/// The response of a server to a leg that ran.
struct OutputRecord {
    LegKey key;
    ShardNumber shard;
    IndexVersion version;
    PartitionEpoch epoch;
    std::vector<BatchId> batches;
};

/// A server that crashed while it ran this request.
struct CrashRecord {
    ServerName server;
    RequestId request;
};

/// A claim record in the store at the end of the run.
struct StoreRecord {
    std::string key;
    RequestId token;
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    RunState state = RunState::Unknown; ///< Run state of the order, in an outcome record.
};

/// The verdict of `apply` for one operator.
enum class ApplyVerdict : std::uint8_t {
    Accepted,
    Refused, ///< A conflict, or another error that says that the rules were not changed.
    Unknown,
    None, ///< `apply` gave no verdict.
};

struct OperatorRecord {
    std::string who; ///< Name of the operator, unique in a history.
    ApplyVerdict verdict = ApplyVerdict::None;
    RuleRevision revision; ///< Revision of the accepted rules.
    bool mayBeUnknown = false; ///< True when a fault explains an unknown verdict.
};

/// Everything that happened in one test run, and the checks of the invariants on it.
class History {
public:
    std::map<RequestId, CallRecord> calls;
    std::vector<RunRecord> runs;
    std::vector<OutputRecord> outputs;
    std::map<ServerName, TimePoint> drainStartedAt;
    std::map<ServerName, std::vector<TimePoint>> received; ///< Times at which a server received a request, at least those during its drain.
    std::map<ServerName, std::uint32_t> maxConnections; ///< Highest number of connections open at once.
    std::map<ServerName, std::uint32_t> connectionCaps; ///< Must hold every server of maxConnections.
    std::vector<CrashRecord> crashes; ///< In order of time; the checks assume that one content caused them all.
    std::vector<std::string> abortedByDrain; ///< Requests that a graceful shutdown aborted.
    /// Claim records in the store, in order for each key; empty when the store was not read.
    std::optional<std::vector<StoreRecord>> storeRecords;
    std::vector<OperatorRecord> operators;
    std::map<RuleRevision, std::string> storedRules; ///< The operator who wrote each revision in the store.
    std::map<std::string, std::vector<RuleRevision>> observedRevisions; ///< For each process life, in order of observation.
    std::vector<std::string> malformed; ///< Descriptions of answers that contradict themselves.
    /// Time after the deadline in which an answer is still accepted, because messages take time on the network.
    Duration answerGrace = std::chrono::milliseconds(100);

    /// Returns a description of each violation; empty when every invariant holds. Requests whose deadline and
    /// grace are not over at `end`, the end of the run, may be without an answer.
    std::vector<std::string> violations(TimePoint end) const;

private:
    void checkAnswers(std::vector<std::string>&, TimePoint end) const;
    void checkCoverage(const CallRecord&, const Answer&, std::vector<std::string>&) const;
    void checkRunState(const CallRecord&, const Answer&, std::vector<std::string>&) const;
    bool hadRunBefore(const CallRecord&) const;
    void checkOrders(std::vector<std::string>&) const;
    void checkServers(std::vector<std::string>&) const;
    void checkCrashes(std::vector<std::string>&) const;
    void checkStore(std::vector<std::string>&) const;
    void checkOperators(std::vector<std::string>&) const;
    void checkRevisions(std::vector<std::string>&) const;
};

}
