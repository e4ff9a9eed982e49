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
    bool mayBeUnknown = true; ///< A fault excuses an outcome that is not known.
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

/// A record of a claim, as the store holds it in the end.
struct StoreRecord {
    std::string key;
    RequestId token;
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    RunState state = RunState::Unknown; ///< Of an outcome.
};

/// What `apply` told one operator.
enum class ApplyVerdict : std::uint8_t {
    Accepted,
    Refused, ///< A conflict, or another error that says that nothing was changed.
    Unknown,
    None, ///< No verdict came.
};

struct OperatorRecord {
    std::string who; ///< Unique in a history.
    ApplyVerdict verdict = ApplyVerdict::None;
    RuleRevision revision; ///< Of what was accepted.
    bool mayBeUnknown = false; ///< A fault excuses a verdict that is not known.
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
    /// What the store holds of claims, each key's records in order; empty when it was not read.
    std::optional<std::vector<StoreRecord>> storeRecords;
    std::vector<OperatorRecord> operators;
    std::map<RuleRevision, std::string> storedRules; ///< Whose rules each revision in the store is.
    std::map<std::string, std::vector<RuleRevision>> revisionsSeen; ///< Of each process life, in the order they were seen.
    std::vector<std::string> malformed; ///< Answers that contradict themselves.
    /// An answer may come this long after the deadline, for messages on their way.
    Duration answerGrace = std::chrono::milliseconds(100);

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
    void checkStore(std::vector<std::string>&) const;
    void checkOperators(std::vector<std::string>&) const;
    void checkRevisions(std::vector<std::string>&) const;
};

}
