#pragma once

#include "base/random_source.h"
#include "claims/claim_engine.h"
#include "claims/claim_log.h"
#include "claims/segment_group.h"
#include "claims/store_clock.h"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

/// State shared by the partitions of one engine.
struct ClaimContext {
    ClaimSettings settings;
    std::unique_ptr<RandomSource> random;
    ClaimCounters counters;
    StoreClock storeClock;
    std::uint64_t lastCall = 0; ///< Sequence number of the last store call of any partition.
};

/// Claims the keys of one partition.
///
/// At most one call that reads or writes the head, or that seals a segment, is in flight. After a failed write
/// the partition reads the head again and evaluates every waiting claim anew: if the log already has a claim's
/// own token, an earlier write stored the claim and its response was lost. When the partition gives up a claim
/// whose write may still take effect, it queues a release of the claim. Once the release is in the head, the
/// store rejects the earlier write, because the head's version is no longer the one that the write expects.
/// Does no I/O and reads no clock. Not thread safe.
class ClaimPartition {
public:
    /// Precondition: the context outlives the partition.
    ClaimPartition(std::uint32_t number, ClaimContext&);

    /// Adds a claim. This or a later call appends exactly one ClaimDecided for it. The verdict is
    /// StoreUnavailable when the store is unreachable, a queue is full, the key is too long, the deadline passes or
    /// the claim was released.
    void claim(const ClaimRequest&, TimePoint, ClaimActions&);
    /// Queues an outcome or a release for a coming write.
    void addRecord(const ClaimRecord&, TimePoint, ClaimActions&);
    void onStoreResponse(const StoreResponse&, TimePoint, ClaimActions&);
    void onTimer(TimePoint, ClaimActions&);
    /// Returns when to call onTimer next; `never` when no timer is needed.
    TimePoint nextWake() const;
    /// Returns the number of claims without a verdict and of records that are not stored yet.
    std::size_t pending() const { return m_waiting.size() + m_unwritten.size(); }
    std::size_t indexedKeys() const { return m_index.keys(); }

private:
    using SegmentRecords = std::map<std::uint64_t, std::vector<ClaimRecord>>;

    struct WaitingClaim {
        ClaimRequest request;
        TimePoint arrived;
        bool isInFlight = false; ///< The write in flight contains the claim.
        bool mayHaveTakenEffect = false; ///< The response to a write that contains the claim was lost.
        std::set<std::uint64_t> fetching; ///< Segments that are being read for the claim.
        SegmentRecords fetched; ///< The key's records from sealed segments, by segment.
    };
    using WaitingClaims = std::list<WaitingClaim>;

    /// An outcome or a release that no write has stored yet.
    struct Unwritten {
        ClaimRecord record;
        TimePoint due; ///< When the record is written even if no claim shares the write.
    };

    /// Result of evaluating a claim against the known head and the batch.
    enum class Evaluation : std::uint8_t {
        Grantable,
        Decided,
        NeedsSegments,
        NeedsFreshHead,
    };

    enum class HeadCallKind : std::uint8_t {
        ReadHead,
        WriteHead,
        CreateSegment,
        ReadSegment, ///< Reads a segment that another instance may have created.
    };
    struct HeadCall {
        StoreCallId id;
        HeadCallKind kind = HeadCallKind::ReadHead;
        TimePoint issued;
    };

    /// A segment that exists but that the head does not list yet; the head's body starts with the segment's.
    struct SealedSegment {
        std::uint64_t number = 0;
        ObjectVersion version;
        std::string body;
    };

    /// The changes in one write of the head.
    struct Batch {
        std::vector<ClaimRecord> records;
        std::string lines;
        std::size_t unwrittenCount = 0; ///< Number of entries from the front of m_unwritten that the batch contains.
        std::set<IdempotencyKey> keys; ///< Keys of the claims in the batch.
        SegmentRange segments; ///< Segments that the head lists after the write.
        std::size_t sealedBytes = 0; ///< Bytes removed from the front of the head's body.

        void add(const ClaimRecord&);
    };

    /// A read of one segment for one waiting claim.
    struct Fetch {
        RequestId request;
        std::uint64_t segment = 0;
    };

    // Control flow: claim_partition.cpp.
    void advance(TimePoint, ClaimActions&);
    bool hasWork(TimePoint) const;
    bool isLoading() const { return !m_segmentLoads.empty() || !m_groupLoads.empty(); }
    /// Returns true when the index has every segment of the head; otherwise reads missing ones.
    bool loadSegments(ClaimActions&);
    void loadGroup(std::uint64_t group, ClaimActions&);
    void loadSegment(std::uint64_t number, ClaimActions&);
    void expire(TimePoint, ClaimActions&);
    void decide(WaitingClaims::iterator, ClaimVerdict, const KeyState*, ClaimActions&);
    void giveUp(WaitingClaims::iterator, TimePoint, ClaimActions&);
    void refuseAll(TimePoint, ClaimActions&);
    void backOff(TimePoint);
    StoreCallId nextCall();
    void readHead(TimePoint, ClaimActions&);
    WaitingClaims::iterator findWaiting(const RequestId&);

    // Evaluation and writes: claim_partition_write.cpp.
    void writeNext(TimePoint, ClaimActions&);
    Batch buildBatch(TimePoint, ClaimActions&);
    Evaluation evaluate(WaitingClaims::iterator, const Batch&, ClaimActions&);
    /// Returns the key's records in log order, those of the batch last.
    std::vector<const ClaimRecord*> recordsOf(const WaitingClaim&, const Batch&) const;
    static std::optional<KeyState> stateOf(const std::vector<const ClaimRecord*>&);
    /// A release of a token is final: the requester gave up the claim, possibly before the claim arrived here.
    static bool isReleased(const RequestId& token, const std::vector<const ClaimRecord*>&);
    bool fetchSegments(WaitingClaim&, ClaimActions&);
    bool isHeadFull() const;
    bool headStartsWithSealedSegment() const;
    void createSegment(TimePoint, ClaimActions&);
    std::uint64_t firstUnexpired(TimePoint) const;
    void writeHead(Batch, TimePoint, ClaimActions&);
    void onHeadWritten(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onSegmentSealed(ClaimActions&);
    void clearExpiredSegments(ClaimActions&);

    // Responses: claim_partition_responses.cpp.
    void onHeadCall(const HeadCall&, const StoreResponse&, TimePoint, ClaimActions&);
    void onHeadRead(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onHeadWriteEnded(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onSegmentCreated(const StoreResponse&, TimePoint, ClaimActions&);
    void onSegmentRead(const StoreResponse&, TimePoint, ClaimActions&);
    void onSegmentLoaded(std::uint64_t number, const StoreResponse&, TimePoint, ClaimActions&);
    void onGroupLoaded(std::uint64_t group, const StoreResponse&, TimePoint, ClaimActions&);
    void onExpiredGroupRead(std::uint64_t group, const StoreResponse&, ClaimActions&);
    void onSegmentFetched(const Fetch&, const StoreResponse&, TimePoint, ClaimActions&);
    void onFailure(StoreStatus, TimePoint, ClaimActions&);
    std::optional<std::vector<ClaimRecord>> readSegment(const StoreResponse&);

    std::uint32_t m_number;
    ClaimContext& m_context;

    WaitingClaims m_waiting;
    std::deque<Unwritten> m_unwritten;

    std::optional<ClaimLog> m_head; ///< Empty while the head is unknown.
    ObjectVersion m_headVersion;
    TimePoint m_headAsOf {}; ///< When the call that read or wrote m_head was issued.
    bool m_needsFreshHead = false;
    std::optional<SealedSegment> m_sealedSegment;
    SegmentIndex m_index;

    std::optional<HeadCall> m_headCall;
    Batch m_batch; ///< Valid while a WriteHead call is in flight.
    std::map<StoreCallId, std::uint64_t> m_segmentLoads; ///< Segments being read for the index.
    std::map<StoreCallId, std::uint64_t> m_groupLoads; ///< Groups being read for the index.
    std::map<StoreCallId, std::uint64_t> m_expiredGroupReads; ///< Expired groups being read; their versions are needed to empty them.
    std::set<std::uint64_t> m_absentGroups; ///< Groups without a usable object; their segments are read one by one.
    std::map<StoreCallId, Fetch> m_fetches;

    TimePoint m_nextWrite {};
    TimePoint m_retryAt {};
    Duration m_retryDelay;
    bool m_isStoreUnreachable = false;
};

}
