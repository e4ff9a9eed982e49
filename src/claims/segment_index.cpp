#include "claims/segment_index.h"

#include "base/fingerprint.h"

#include <algorithm>

namespace lycheefield {

SegmentSummary::KeyHash SegmentSummary::hashOf(const IdempotencyKey& key)
{
    return static_cast<KeyHash>(stableHash(key.value()));
}

SegmentSummary SegmentSummary::of(const std::vector<ClaimRecord>& records, ObjectVersion version)
{
    SegmentSummary summary { version, 0, {} };
    summary.keyHashes.reserve(records.size());
    for (const auto& record : records) {
        summary.keyHashes.push_back(hashOf(record.key));
        if (record.kind == ClaimRecordKind::Claim)
            summary.newestClaim = std::max(summary.newestClaim, record.storeSeconds == 0 ? SegmentSummary::neverExpires : record.storeSeconds);
    }
    auto& hashes = summary.keyHashes;
    std::sort(hashes.begin(), hashes.end());
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    hashes.shrink_to_fit();
    return summary;
}

void SegmentIndex::add(std::uint64_t number, SegmentSummary summary)
{
    m_segments.insert_or_assign(number, std::move(summary));
}

void SegmentIndex::removeBefore(std::uint64_t first)
{
    m_segments.erase(m_segments.begin(), m_segments.lower_bound(first));
}

const SegmentSummary* SegmentIndex::find(std::uint64_t number) const
{
    auto it = m_segments.find(number);
    return it == m_segments.end() ? nullptr : &it->second;
}

std::vector<std::uint64_t> SegmentIndex::segmentsThatMayHold(const IdempotencyKey& key) const
{
    const auto hash = SegmentSummary::hashOf(key);
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, summary] : m_segments) {
        if (std::binary_search(summary.keyHashes.begin(), summary.keyHashes.end(), hash))
            numbers.push_back(number);
    }
    return numbers;
}

std::vector<std::uint64_t> SegmentIndex::missing(const SegmentRange& range, std::size_t limit) const
{
    std::vector<std::uint64_t> numbers;
    if (m_segments.size() == range.next - range.first && (m_segments.empty() || m_segments.begin()->first == range.first))
        return numbers;
    for (auto number = range.first; number < range.next && numbers.size() < limit; ++number) {
        if (!m_segments.contains(number))
            numbers.push_back(number);
    }
    return numbers;
}

std::size_t SegmentIndex::keys() const
{
    std::size_t sum = 0;
    for (const auto& [number, summary] : m_segments)
        sum += summary.keyHashes.size();
    return sum;
}

}
