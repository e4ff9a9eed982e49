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

/// What the partitions of one engine share.
struct ClaimContext {
    ClaimSettings settings;
    std::unique_ptr<RandomSource> random;
    ClaimCounters counters;
    StoreClock storeClock;
    std::uint64_t lastCall = 0;
};

/// Claims the keys of one partition.
///
/// At most one call that reads or changes the head is under way. Whenever it did not end well the head
/// counts as unknown, is read again, and every waiting claim is judged afresh by what it says: a claim
/// that finds its own token in the log was made by an earlier write whose answer was lost. A claim that
/// is given up while such a write may still land is followed by a release: once the release is in a
/// head, the head's version has moved past the condition of that write. Not thread safe.
class ClaimPartition {
public:
    /// Precondition: the context outlives the partition.
    ClaimPartition(std::uint32_t number, ClaimContext&);

    void claim(const ClaimRequest&, TimePoint, ClaimActions&);
    /// Adds an outcome or a release to what the next write carries.
    void addRecord(const ClaimRecord&, TimePoint, ClaimActions&);
    void onStoreResponse(const StoreResponse&, TimePoint, ClaimActions&);
    void onTimer(TimePoint, ClaimActions&);
    TimePoint nextWake() const;
    std::size_t pending() const { return m_waiting.size() + m_unwritten.size(); }
    std::size_t indexedKeys() const { return m_index.keys(); }

private:
    using SegmentRecords = std::map<std::uint64_t, std::vector<ClaimRecord>>;

    struct Waiting {
        ClaimRequest request;
        TimePoint arrived;
        bool isInFlight = false; ///< The write under way holds it.
        bool mayHaveLanded = false; ///< The answer of a write that held it was lost.
        std::set<std::uint64_t> fetching;
        SegmentRecords fetched; ///< The key's records in sealed segments.
    };
    using WaitingList = std::list<Waiting>;

    struct Unwritten {
        ClaimRecord record;
        TimePoint due;
    };

    /// A claim's standing by the head at hand.
    enum class Standing : std::uint8_t {
        Grantable,
        Decided,
        NeedsSegments,
        NeedsFreshHead,
    };

    enum class HeadCallKind : std::uint8_t {
        ReadHead,
        WriteHead,
        CreateSegment,
        ReadSegment, ///< One that another instance may have created.
    };
    struct HeadCall {
        StoreCallId id;
        HeadCallKind kind = HeadCallKind::ReadHead;
        TimePoint issued;
    };

    /// A segment known to exist whose number the head did not pass yet: its body starts the head's.
    struct Sealed {
        std::uint64_t number = 0;
        ObjectVersion version;
        std::string body;
    };

    /// What the write under way changes.
    struct Batch {
        std::vector<ClaimRecord> records;
        std::string lines;
        std::size_t unwritten = 0; ///< So many of m_unwritten, from the front, are in it.
        std::set<IdempotencyKey> keys;
        SegmentRange segments;
        std::size_t sealedBytes = 0; ///< Taken from the front of the head's body.

        void add(const ClaimRecord&);
    };

    struct Fetch {
        RequestId request;
        std::uint64_t segment = 0;
    };

    // Driving: claim_partition.cpp.
    void pump(TimePoint, ClaimActions&);
    bool hasWork(TimePoint) const;
    bool isLoading() const { return !m_loads.empty() || !m_groupLoads.empty(); }
    bool loadSegments(ClaimActions&);
    void loadGroup(std::uint64_t group, ClaimActions&);
    void loadSegment(std::uint64_t number, ClaimActions&);
    void expire(TimePoint, ClaimActions&);
    void decide(WaitingList::iterator, ClaimVerdict, const KeyState*, ClaimActions&);
    void giveUp(WaitingList::iterator, TimePoint, ClaimActions&);
    void refuseAll(TimePoint, ClaimActions&);
    void pause(TimePoint);
    StoreCallId nextCall();
    void readHead(TimePoint, ClaimActions&);
    WaitingList::iterator findWaiting(const RequestId&);

    // Judging and writing: claim_partition_write.cpp.
    void writeNext(TimePoint, ClaimActions&);
    Batch gather(TimePoint, ClaimActions&);
    Standing judge(WaitingList::iterator, const Batch&, ClaimActions&);
    /// The key's records in the order of the log, those of the batch last.
    std::vector<const ClaimRecord*> recordsOf(const Waiting&, const Batch&) const;
    static std::optional<KeyState> stateOf(const std::vector<const ClaimRecord*>&);
    /// A release is final: whoever asked for the token gave it up, maybe before its claim arrived here.
    static bool isReleased(const RequestId& token, const std::vector<const ClaimRecord*>&);
    bool fetchSegments(Waiting&, ClaimActions&);
    bool isHeadFull() const;
    bool sealedStartsHead() const;
    void createSegment(TimePoint, ClaimActions&);
    std::uint64_t firstUnexpired(TimePoint) const;
    void writeHead(Batch, TimePoint, ClaimActions&);
    void onHeadWritten(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onSealed(ClaimActions&);
    void letGoOfExpired(ClaimActions&);

    // Replies: claim_partition_replies.cpp.
    void onHeadCall(const HeadCall&, const StoreResponse&, TimePoint, ClaimActions&);
    void onHeadRead(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onHeadWriteEnded(const StoreResponse&, TimePoint issued, TimePoint, ClaimActions&);
    void onSegmentCreated(const StoreResponse&, TimePoint, ClaimActions&);
    void onSegmentRead(const StoreResponse&, TimePoint, ClaimActions&);
    void onSegmentLoaded(std::uint64_t number, const StoreResponse&, TimePoint, ClaimActions&);
    void onGroupLoaded(std::uint64_t group, const StoreResponse&, TimePoint, ClaimActions&);
    void onExpiredGroupRead(std::uint64_t group, const StoreResponse&, ClaimActions&);
    void onFetched(const Fetch&, const StoreResponse&, TimePoint, ClaimActions&);
    void onFailure(StoreStatus, TimePoint, ClaimActions&);
    std::optional<std::vector<ClaimRecord>> readSegment(const StoreResponse&);

    std::uint32_t m_number;
    ClaimContext& m_context;

    WaitingList m_waiting;
    std::deque<Unwritten> m_unwritten;

    std::optional<ClaimLog> m_head; ///< Empty: unknown.
    ObjectVersion m_headVersion;
    TimePoint m_headAsOf {}; ///< When the call that told it was issued.
    bool m_needsFreshHead = false;
    std::optional<Sealed> m_sealed;
    SegmentIndex m_index;

    std::optional<HeadCall> m_headCall;
    Batch m_batch; ///< While a WriteHead is under way.
    std::map<StoreCallId, std::uint64_t> m_loads; ///< Segments.
    std::map<StoreCallId, std::uint64_t> m_groupLoads;
    std::map<StoreCallId, std::uint64_t> m_expiredGroups; ///< Read for their version, to be emptied.
    std::set<std::uint64_t> m_absentGroups; ///< Their segments are read one by one.
    std::map<StoreCallId, Fetch> m_fetches;

    TimePoint m_nextWrite {};
    TimePoint m_retryAt {};
    Duration m_retryDelay;
    bool m_isStoreDown = false;
};

}
