#pragma once

#include "base/stored_object.h"
#include "claims/claim_log.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace lycheefield {

/// What is kept of one sealed segment: 4 bytes for each key in it.
struct SegmentSummary {
    /// Another key has the same hash once in 4 billion: that costs a read of the segment, no more.
    using KeyHash = std::uint32_t;
    static KeyHash hashOf(const IdempotencyKey&);

    static constexpr std::int64_t neverExpires = std::numeric_limits<std::int64_t>::max();

    ObjectVersion version; ///< Of the segment's object.
    std::int64_t newestClaim = 0; ///< Store's seconds of the newest claim in it; neverExpires when one has no time.
    std::vector<KeyHash> keyHashes; ///< Ascending, without repeats.

    static SegmentSummary of(const std::vector<ClaimRecord>&, ObjectVersion);

    friend bool operator==(const SegmentSummary&, const SegmentSummary&) = default;
};

/// Tells which of a partition's sealed segments may hold records of a key.
class SegmentIndex {
public:
    void add(std::uint64_t number, SegmentSummary);
    /// Forgets the segments before the number.
    void removeBefore(std::uint64_t first);
    bool contains(std::uint64_t number) const { return m_segments.contains(number); }
    const SegmentSummary* find(std::uint64_t number) const;
    /// Segments that may hold records of the key, ascending. Other keys of the same hash may be the cause.
    std::vector<std::uint64_t> segmentsWith(const IdempotencyKey&) const;
    /// Segments of the range that were not added, ascending, at most so many. Precondition: none
    /// before or after the range is held.
    std::vector<std::uint64_t> missing(const SegmentRange&, std::size_t most) const;
    /// Keys held, over all segments.
    std::size_t keys() const;

private:
    std::map<std::uint64_t, SegmentSummary> m_segments;
};

}
