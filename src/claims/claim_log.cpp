#include "claims/claim_log.h"

#include <charconv>

namespace lycheefield {

namespace {

constexpr std::string_view headMagic = "claim-head-1 ";
constexpr std::string_view segmentMagic = "claim-segment-1\n";

std::optional<SegmentRange> parseRange(std::string_view text)
{
    SegmentRange range;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, range.first);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != ' ')
        return std::nullopt;
    const auto next = std::from_chars(first.ptr + 1, end, range.next);
    if (next.ec != std::errc() || next.ptr != end || range.next < range.first)
        return std::nullopt;
    return range;
}

}

std::optional<ClaimLog> ClaimLog::parse(const std::string& text)
{
    ClaimLog log;
    if (text.empty())
        return log;
    const auto end = text.find('\n');
    if (end == std::string::npos || text.compare(0, headMagic.size(), headMagic) != 0)
        return std::nullopt;
    const auto range = parseRange(std::string_view(text).substr(headMagic.size(), end - headMagic.size()));
    const auto body = std::string_view(text).substr(end + 1);
    const auto records = parseClaimRecords(body);
    if (!range || !records)
        return std::nullopt;
    log.m_segments = *range;
    log.append(*records, body);
    return log;
}

const std::vector<ClaimRecord>* ClaimLog::find(const IdempotencyKey& key) const
{
    auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : &it->second;
}

std::string ClaimLog::headText(const SegmentRange& range, std::string_view body)
{
    std::string text(headMagic);
    text += std::to_string(range.first) + ' ' + std::to_string(range.next) + '\n';
    text += body;
    return text;
}

void ClaimLog::append(const std::vector<ClaimRecord>& records, std::string_view lines)
{
    m_body += lines;
    addRecords(records);
}

void ClaimLog::removePrefix(std::size_t bytes)
{
    m_body.erase(0, bytes);
    m_byKey.clear();
    m_claims = 0;
    if (const auto records = parseClaimRecords(m_body))
        addRecords(*records);
}

void ClaimLog::addRecords(const std::vector<ClaimRecord>& records)
{
    for (const auto& record : records) {
        m_byKey[record.key].push_back(record);
        if (record.kind == ClaimRecordKind::Claim)
            ++m_claims;
    }
}

std::string segmentText(std::string_view body)
{
    std::string text(segmentMagic);
    text += body;
    return text;
}

std::optional<std::string_view> segmentBody(std::string_view text)
{
    if (text.substr(0, segmentMagic.size()) != segmentMagic)
        return std::nullopt;
    return text.substr(segmentMagic.size());
}

std::string headKey(std::uint32_t partition)
{
    return "claims/" + std::to_string(partition) + "/head";
}

std::string segmentKey(std::uint32_t partition, std::uint64_t number)
{
    return "claims/" + std::to_string(partition) + "/segment/" + std::to_string(number);
}

}
