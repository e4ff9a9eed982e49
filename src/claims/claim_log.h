#pragma once

#include "claims/claim_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// The segments that a head names: those from `first` up to but not including `next`.
struct SegmentRange {
    std::uint64_t first = 0;
    std::uint64_t next = 0;

    friend bool operator==(const SegmentRange&, const SegmentRange&) = default;
};

/// Content of a partition's head: the range of its segments, and the records made since the last seal.
class ClaimLog {
public:
    ClaimLog() = default;
    /// Empty when the text is malformed. An empty text is an empty log.
    static std::optional<ClaimLog> parse(const std::string& text);

    const SegmentRange& segments() const { return m_segments; }
    /// The records as text, one a line.
    const std::string& body() const { return m_body; }
    std::size_t claims() const { return m_claims; }
    /// The key's records in order; null when it has none.
    const std::vector<ClaimRecord>* find(const IdempotencyKey&) const;

    /// Text of a head with this range and the records of the body.
    static std::string headText(const SegmentRange&, std::string_view body);

    /// Appends records whose lines are given.
    void append(const std::vector<ClaimRecord>&, std::string_view lines);
    void setSegments(const SegmentRange& segments) { m_segments = segments; }
    /// Takes the first bytes of the body away, which a segment holds now. Precondition: they end a line.
    void removePrefix(std::size_t bytes);

private:
    void addRecords(const std::vector<ClaimRecord>&);

    SegmentRange m_segments;
    std::string m_body;
    std::size_t m_claims = 0;
    std::unordered_map<IdempotencyKey, std::vector<ClaimRecord>> m_byKey;
};

/// Text of a sealed segment, and its body back; empty when the text is no segment.
std::string segmentText(std::string_view body);
std::optional<std::string_view> segmentBody(std::string_view text);

/// Names of the store's objects.
std::string headKey(std::uint32_t partition);
std::string segmentKey(std::uint32_t partition, std::uint64_t number);

}
