#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Largest rule file: half of what a value of the platform's store may hold.
constexpr std::size_t maxRuleFileBytes = 512 * 1024;

/// A line of the newer text, and its position there.
struct AddedLine {
    std::uint32_t at = 0; ///< From 0.
    std::string text;

    friend bool operator==(const AddedLine&, const AddedLine&) = default;
};

/// The rule text of one revision, as a difference in lines from that of another.
struct RuleDelta {
    RuleRevision base; ///< 0: from the empty text, so the delta holds the whole file.
    RuleRevision revision;
    std::vector<std::uint32_t> removedLines; ///< Positions in the base, from 0, ascending.
    std::vector<AddedLine> addedLines; ///< By ascending position.
    std::uint64_t resultHash = 0; ///< hashOfRules of the newer text.

    friend bool operator==(const RuleDelta&, const RuleDelta&) = default;
};

/// Hash by which two instances compare the text of a revision. Thread safe.
std::uint64_t hashOfRules(RuleRevision, std::string_view text);

/// The difference from one text to another. Thread safe.
RuleDelta makeRuleDelta(RuleRevision baseRevision, std::string_view baseText, RuleRevision, std::string_view text);

/// The newer text; empty when the delta does not fit the base or its hash is another. Thread safe.
std::optional<std::string> applyRuleDelta(std::string_view baseText, const RuleDelta&);

/// The difference for an operator's eyes: lines led by '-' and '+' with their line numbers.
std::string describeRuleDelta(std::string_view baseText, const RuleDelta&);

}
