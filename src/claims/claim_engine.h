#pragma once

#include "base/random_source.h"
#include "base/time.h"
#include "claims/claim_action.h"
#include "claims/claim_settings.h"

#include <memory>

namespace lycheefield {

/// Asks for the right to run a request that must run at most once.
struct ClaimRequest {
    RequestId request; ///< Doubles as the attempt's token: never used by another attempt.
    IdempotencyKey key;
    Fingerprint fingerprint;
    TimePoint deadline = never;

    friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

struct ClaimCounters {
    std::uint64_t claims = 0;
    std::uint64_t granted = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t alreadyDone = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t differentContent = 0;
    std::uint64_t storeUnavailable = 0;
    std::uint64_t segmentsSealed = 0;
    std::uint64_t segmentsExpired = 0;
    std::uint64_t unreadableObjects = 0;
    std::uint64_t indexedKeys = 0; ///< Keys of sealed segments in memory, 4 bytes each.

    friend bool operator==(const ClaimCounters&, const ClaimCounters&) = default;
};

/// Claims idempotency keys in the platform's object API, many in one write.
///
/// It does no I/O. Safety rests on the store's conditional update alone. Not thread safe: each
/// instance runs one on its own strand.
class ClaimEngine {
public:
    virtual ~ClaimEngine() = default;

    /// Ends in exactly one ClaimDecided for the request, at its deadline at the latest.
    virtual void claim(const ClaimRequest&, TimePoint, ClaimActions&) = 0;
    /// Tells the engine of a claim that another instance's engine was granted for this process, so that
    /// its outcome can be recorded or its key released here. Does nothing for a claim it knows.
    virtual void adopt(const ClaimRequest&) = 0;
    /// Records how a granted request ended; goes out with the next batch.
    virtual void recordOutcome(const RequestId&, RunState, const std::string& answer, TimePoint, ClaimActions&) = 0;
    /// A granted request was not run: its key may be claimed again.
    virtual void release(const RequestId&, TimePoint, ClaimActions&) = 0;
    virtual void onStoreResponse(const StoreResponse&, TimePoint, ClaimActions&) = 0;
    virtual void onTimer(TimePoint, ClaimActions&) = 0;
    virtual TimePoint nextWake() const = 0;
    /// Claims undecided and outcomes not yet written.
    virtual std::size_t pending() const = 0;
    virtual ClaimCounters counters() const = 0;
};

/// The partition that a key belongs to.
std::uint32_t claimPartitionOf(const IdempotencyKey&, const ClaimSettings&);

std::unique_ptr<ClaimEngine> makeClaimEngine(const ClaimSettings&, std::unique_ptr<RandomSource>);

}
