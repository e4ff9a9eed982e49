#pragma once

#include "base/random_source.h"
#include "base/time.h"
#include "claims/claim_action.h"
#include "claims/claim_settings.h"

#include <memory>

namespace lycheefield {

/// A claim of an idempotency key for a request that must run at most once.
struct ClaimRequest {
    RequestId request; ///< Doubles as the token of the claim: no other request ever has this id.
    IdempotencyKey key;
    Fingerprint fingerprint;
    TimePoint deadline = never;

    friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// Counters since the engine was created.
struct ClaimCounters {
    std::uint64_t claims = 0;
    std::uint64_t granted = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t conflicts = 0; ///< Writes of a head that the store refused because the head had a newer version.
    std::uint64_t lostResponses = 0; ///< Writes of a head whose response was lost, so that their effect is unknown.
    std::uint64_t alreadyDone = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t differentContent = 0;
    std::uint64_t storeUnavailable = 0;
    std::uint64_t segmentsSealed = 0;
    std::uint64_t segmentsExpired = 0;
    std::uint64_t unreadableObjects = 0; ///< Malformed heads and segments.
    std::uint64_t indexedKeys = 0; ///< Keys of sealed segments in memory, 4 bytes each.

    friend bool operator==(const ClaimCounters&, const ClaimCounters&) = default;
};

/// Claims idempotency keys in the platform's object store and batches many claims into one write.
///
/// The engine does no I/O: the caller executes the returned actions and reports the responses. At-most-once
/// execution depends only on the store's conditional write. Not thread safe: each instance runs one engine
/// on its own strand.
class ClaimEngine {
public:
    virtual ~ClaimEngine() = default;

    /// Starts a claim. The engine emits exactly one ClaimDecided for the request, at its deadline at the latest.
    virtual void claim(const ClaimRequest&, TimePoint, ClaimActions&) = 0;
    /// Takes over a claim that another instance's engine was granted on behalf of this process, so that
    /// recordOutcome and release work here. Has no effect on a claim that this engine already has.
    virtual void adopt(const ClaimRequest&) = 0;
    /// Records how a granted request ended. The record is written with a later batch.
    virtual void recordOutcome(const RequestId&, RunState, const std::string& answer, TimePoint, ClaimActions&) = 0;
    /// Releases the key of a granted request that was not run, so that the key can be claimed again.
    virtual void release(const RequestId&, TimePoint, ClaimActions&) = 0;
    virtual void onStoreResponse(const StoreResponse&, TimePoint, ClaimActions&) = 0;
    virtual void onTimer(TimePoint, ClaimActions&) = 0;
    /// Returns when to call onTimer next; `never` when no timer is needed.
    virtual TimePoint nextWake() const = 0;
    /// Number of undecided claims and of outcomes and releases that are not written yet.
    virtual std::size_t pending() const = 0;
    virtual ClaimCounters counters() const = 0;
};

/// Returns the number of the partition that a key belongs to.
std::uint32_t claimPartitionOf(const IdempotencyKey&, const ClaimSettings&);

std::unique_ptr<ClaimEngine> makeClaimEngine(const ClaimSettings&, std::unique_ptr<RandomSource>);

}
