#include "claims/segment_group.h"

#include <charconv>
#include <string_view>

namespace lycheefield {

namespace {

constexpr std::string_view groupMagic = "claim-group-1\n";
constexpr int hexadecimal = 16;
constexpr std::size_t digitsPerHash = 2 * sizeof(SegmentSummary::KeyHash);

void appendHash(std::string& text, SegmentSummary::KeyHash hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 4 * static_cast<int>(digitsPerHash) - 4; shift >= 0; shift -= 4)
        text += digits[(hash >> shift) & 15];
}

/// Removes a decimal number and the character `end` after it from the front; false when either is missing.
template <typename T>
bool takeNumber(std::string_view& rest, char end, T& value)
{
    const auto [next, ec] = std::from_chars(rest.data(), rest.data() + rest.size(), value);
    if (ec != std::errc() || next == rest.data() + rest.size() || *next != end)
        return false;
    rest.remove_prefix(static_cast<std::size_t>(next - rest.data()) + 1);
    return true;
}

bool takeHashes(std::string_view& rest, std::size_t count, std::vector<SegmentSummary::KeyHash>& hashes)
{
    if (rest.size() / digitsPerHash < count)
        return false;
    hashes.resize(count);
    for (auto& hash : hashes) {
        const auto [next, ec] = std::from_chars(rest.data(), rest.data() + digitsPerHash, hash, hexadecimal);
        if (ec != std::errc() || next != rest.data() + digitsPerHash)
            return false;
        rest.remove_prefix(digitsPerHash);
    }
    if (rest.empty() || rest.front() != '\n')
        return false;
    rest.remove_prefix(1);
    return true;
}

}

std::string groupText(const SegmentSummaries& summaries)
{
    std::string text(groupMagic);
    for (const auto& [number, summary] : summaries) {
        text += std::to_string(number) + ' ' + std::to_string(summary.version.value) + ' ' + std::to_string(summary.newestClaim) + ' '
            + std::to_string(summary.keyHashes.size()) + ' ';
        for (const auto hash : summary.keyHashes)
            appendHash(text, hash);
        text += '\n';
    }
    return text;
}

std::optional<SegmentSummaries> parseGroup(const std::string& text)
{
    std::string_view rest(text);
    if (rest.substr(0, groupMagic.size()) != groupMagic)
        return std::nullopt;
    rest.remove_prefix(groupMagic.size());
    SegmentSummaries summaries;
    while (!rest.empty()) {
        std::uint64_t number = 0;
        std::size_t count = 0;
        SegmentSummary summary;
        const bool ok = takeNumber(rest, ' ', number) && takeNumber(rest, ' ', summary.version.value) && takeNumber(rest, ' ', summary.newestClaim)
            && takeNumber(rest, ' ', count) && takeHashes(rest, count, summary.keyHashes);
        if (!ok)
            return std::nullopt;
        summaries.emplace(number, std::move(summary));
    }
    return summaries.size() == segmentsPerGroup ? std::optional(std::move(summaries)) : std::nullopt;
}

std::string groupKey(std::uint32_t partition, std::uint64_t group)
{
    return "claims/" + std::to_string(partition) + "/group/" + std::to_string(group);
}

}
