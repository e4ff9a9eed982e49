#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Size limit of a rule file: half of the platform store's limit for a value.
constexpr std::size_t maxRuleFileBytes = 512 * 1024;

/// A line of the newer text and its position there.
struct AddedLine {
    std::uint32_t at = 0; ///< Counted from 0.
    std::string text;

    friend bool operator==(const AddedLine&, const AddedLine&) = default;
};

/// The rule text of one revision, as a line difference from the text of a base revision.
struct RuleDelta {
    RuleRevision base; ///< 0: the base is the empty text, so the delta holds the whole file.
    RuleRevision revision;
    std::vector<std::uint32_t> removedLines; ///< Positions in the base, counted from 0, ascending.
    std::vector<AddedLine> addedLines; ///< Ascending by position.
    std::uint64_t resultHash = 0; ///< hashOfRules() of the newer text.

    friend bool operator==(const RuleDelta&, const RuleDelta&) = default;
};

/// Returns the hash with which instances verify the text of a revision. Thread safe.
std::uint64_t hashOfRules(RuleRevision, std::string_view text);

/// Returns the difference from the base text to the newer text. Thread safe.
RuleDelta makeRuleDelta(RuleRevision baseRevision, std::string_view baseText, RuleRevision, std::string_view text);

/// Returns the newer text; nullopt when the delta does not apply to the base, the text exceeds maxRuleFileBytes or its
/// hash differs. Thread safe.
std::optional<std::string> applyRuleDelta(std::string_view baseText, const RuleDelta&);

/// Returns the difference for display: lines that start with '-' or '+' and the line number.
std::string describeRuleDelta(std::string_view baseText, const RuleDelta&);

}
