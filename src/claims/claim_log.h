#pragma once

#include "claims/claim_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// The sealed segments that a head lists: from `first` up to but not including `next`.
struct SegmentRange {
    std::uint64_t first = 0;
    std::uint64_t next = 0;

    friend bool operator==(const SegmentRange&, const SegmentRange&) = default;
};

/// Content of a partition's head object: the range of its segments, and the records since the last seal.
class ClaimLog {
public:
    ClaimLog() = default;
    /// Parses the text of a head object; nullopt when the text is malformed. An empty text gives an empty log.
    static std::optional<ClaimLog> parse(const std::string& text);

    const SegmentRange& segments() const { return m_segments; }
    /// The records as text, one per line.
    const std::string& body() const { return m_body; }
    std::size_t claims() const { return m_claims; }
    /// Returns the key's records in log order; null when the key has none.
    const std::vector<ClaimRecord>* find(const IdempotencyKey&) const;

    /// Returns the text of a head object with this segment range and body.
    static std::string headText(const SegmentRange&, std::string_view body);

    /// Appends records. Precondition: `lines` is their text.
    void append(const std::vector<ClaimRecord>&, std::string_view lines);
    void setSegments(const SegmentRange& segments) { m_segments = segments; }
    /// Removes the first bytes of the body once a segment holds them. Precondition: the bytes are whole lines.
    void removePrefix(std::size_t bytes);

private:
    void addRecords(const std::vector<ClaimRecord>&);

    SegmentRange m_segments;
    std::string m_body;
    std::size_t m_claims = 0;
    std::unordered_map<IdempotencyKey, std::vector<ClaimRecord>> m_byKey;
};

/// Returns the text of a sealed segment with this body.
std::string segmentText(std::string_view body);
/// Returns the body of a sealed segment; nullopt when the text is not that of a segment.
std::optional<std::string_view> segmentBody(std::string_view text);

/// Keys of the objects in the store.
std::string headKey(std::uint32_t partition);
std::string segmentKey(std::uint32_t partition, std::uint64_t number);

}
