#include "rules/rule_delta.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <sstream>

namespace lycheefield {

namespace {

using Lines = std::vector<std::string_view>;

/// Limit for the cells of the comparison table. A changed range that needs more is replaced as a whole.
constexpr std::size_t maxTableCells = 4'000'000;

/// Splits a text at line breaks. Joining the lines with line breaks gives the same text.
Lines splitLines(std::string_view text)
{
    Lines lines;
    for (;;) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return lines;
        text.remove_prefix(end + 1);
    }
}

/// The lines of two texts that remain after the common first and last lines are removed.
struct ChangedRange {
    std::size_t first = 0; ///< In both texts.
    std::size_t baseEnd = 0; ///< One past the last line in the base.
    std::size_t end = 0; ///< One past the last line in the newer text.
};

ChangedRange findChangedRange(const Lines& base, const Lines& lines)
{
    ChangedRange range { 0, base.size(), lines.size() };
    while (range.first < range.baseEnd && range.first < range.end && base[range.first] == lines[range.first])
        ++range.first;
    while (range.baseEnd > range.first && range.end > range.first && base[range.baseEnd - 1] == lines[range.end - 1]) {
        --range.baseEnd;
        --range.end;
    }
    return range;
}

/// Lengths of the longest common subsequence for every pair of suffixes of a changed range.
class CommonSubsequenceTable {
public:
    CommonSubsequenceTable(const Lines& base, const Lines& lines, const ChangedRange& range)
        : m_width(range.end - range.first + 1)
        , m_lengths((range.baseEnd - range.first + 1) * m_width)
    {
        for (auto i = range.baseEnd - range.first; i-- > 0;) {
            for (auto j = range.end - range.first; j-- > 0;) {
                const bool same = base[range.first + i] == lines[range.first + j];
                m_lengths[i * m_width + j] = same ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }
    std::uint32_t at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

void removeLines(RuleDelta& delta, std::size_t first, std::size_t end)
{
    for (auto i = first; i < end; ++i)
        delta.removedLines.push_back(static_cast<std::uint32_t>(i));
}

void addLines(RuleDelta& delta, const Lines& lines, std::size_t first, std::size_t end)
{
    for (auto i = first; i < end; ++i)
        delta.addedLines.push_back({ static_cast<std::uint32_t>(i), std::string(lines[i]) });
}

void compareChangedRange(RuleDelta& delta, const Lines& base, const Lines& lines, const ChangedRange& range)
{
    const CommonSubsequenceTable table(base, lines, range);
    auto i = range.first;
    auto j = range.first;
    while (i < range.baseEnd && j < range.end) {
        if (base[i] == lines[j]) {
            ++i;
            ++j;
        } else if (table.at(i + 1 - range.first, j - range.first) >= table.at(i - range.first, j + 1 - range.first)) {
            removeLines(delta, i, i + 1);
            ++i;
        } else {
            addLines(delta, lines, j, j + 1);
            ++j;
        }
    }
    removeLines(delta, i, range.baseEnd);
    addLines(delta, lines, j, range.end);
}

std::optional<Lines> keptLines(const Lines& base, const std::vector<std::uint32_t>& removed)
{
    Lines kept;
    auto it = removed.begin();
    for (std::size_t i = 0; i < base.size(); ++i) {
        if (it != removed.end() && *it == i)
            ++it;
        else
            kept.push_back(base[i]);
    }
    if (it != removed.end())
        return std::nullopt;
    return kept;
}

std::optional<Lines> mergedLines(const Lines& kept, const std::vector<AddedLine>& added)
{
    Lines merged;
    auto next = kept.begin();
    for (const auto& it : added) {
        while (merged.size() < it.at && next != kept.end())
            merged.push_back(*next++);
        if (merged.size() != it.at)
            return std::nullopt;
        merged.push_back(it.text);
    }
    merged.insert(merged.end(), next, kept.end());
    return merged;
}

std::optional<std::string> joinLines(const Lines& lines)
{
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (text.size() + lines[i].size() > maxRuleFileBytes)
            return std::nullopt;
        if (i)
            text += '\n';
        text += lines[i];
    }
    return text;
}

}

std::uint64_t hashOfRules(RuleRevision revision, std::string_view text)
{
    return stableHash(text, revision.value());
}

RuleDelta makeRuleDelta(RuleRevision baseRevision, std::string_view baseText, RuleRevision revision, std::string_view text)
{
    RuleDelta delta;
    delta.base = baseRevision;
    delta.revision = revision;
    delta.resultHash = hashOfRules(revision, text);
    const auto base = splitLines(baseText);
    const auto lines = splitLines(text);
    const auto range = findChangedRange(base, lines);
    if ((range.baseEnd - range.first + 1) * (range.end - range.first + 1) <= maxTableCells) {
        compareChangedRange(delta, base, lines, range);
        return delta;
    }
    removeLines(delta, range.first, range.baseEnd);
    addLines(delta, lines, range.first, range.end);
    return delta;
}

std::optional<std::string> applyRuleDelta(std::string_view baseText, const RuleDelta& delta)
{
    const auto base = splitLines(baseText);
    const auto kept = keptLines(base, delta.removedLines);
    if (!kept)
        return std::nullopt;
    const auto merged = mergedLines(*kept, delta.addedLines);
    if (!merged)
        return std::nullopt;
    auto text = joinLines(*merged);
    if (!text || hashOfRules(delta.revision, *text) != delta.resultHash)
        return std::nullopt;
    return text;
}

std::string describeRuleDelta(std::string_view baseText, const RuleDelta& delta)
{
    std::ostringstream out;
    const auto base = splitLines(baseText);
    for (const auto it : delta.removedLines)
        out << '-' << it + 1 << ": " << base.at(it) << '\n';
    for (const auto& it : delta.addedLines)
        out << '+' << it.at + 1 << ": " << it.text << '\n';
    return out.str();
}

}
