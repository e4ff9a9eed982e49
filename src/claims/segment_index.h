#pragma once

#include "base/stored_object.h"
#include "claims/claim_log.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace lycheefield {

/// In-memory summary of one sealed segment: 4 bytes for each key.
struct SegmentSummary {
    /// Two keys have the same hash once in 4 billion; a collision only costs a read of the segment.
    using KeyHash = std::uint32_t;
    static KeyHash hashOf(const IdempotencyKey&);

    static constexpr std::int64_t neverExpires = std::numeric_limits<std::int64_t>::max();

    ObjectVersion version; ///< Version of the segment's object.
    std::int64_t newestClaim = 0; ///< Store time in seconds of the newest claim; neverExpires when a claim has no time.
    std::vector<KeyHash> keyHashes; ///< Ascending, without duplicates.

    static SegmentSummary of(const std::vector<ClaimRecord>&, ObjectVersion);

    friend bool operator==(const SegmentSummary&, const SegmentSummary&) = default;
};

/// Finds the sealed segments of a partition that may hold records of a key.
class SegmentIndex {
public:
    void add(std::uint64_t number, SegmentSummary);
    /// Removes the summaries of the segments before `first`.
    void removeBefore(std::uint64_t first);
    bool contains(std::uint64_t number) const { return m_segments.contains(number); }
    const SegmentSummary* find(std::uint64_t number) const;
    /// Returns the numbers of the segments that may hold records of the key, ascending. A segment may be listed only
    /// because another key has the same hash.
    std::vector<std::uint64_t> segmentsThatMayHold(const IdempotencyKey&) const;
    /// Returns the numbers of the segments of the range that are not in the index, ascending, at most `limit`.
    /// Precondition: the index holds no segment outside the range.
    std::vector<std::uint64_t> missing(const SegmentRange&, std::size_t limit) const;
    /// Number of key hashes over all segments.
    std::size_t keys() const;

private:
    std::map<std::uint64_t, SegmentSummary> m_segments;
};

}
