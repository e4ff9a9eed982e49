#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheefield {

/// A word of a rule line and its position.
struct RuleWord {
    std::uint32_t column = 0; ///< In bytes, counted from 1.
    std::string_view text;

    friend bool operator==(const RuleWord&, const RuleWord&) = default;
};

/// One line of a rule file, split but not parsed. Holds views into the text that was split.
struct RuleLine {
    std::uint32_t number = 0; ///< Counted from 1.
    std::vector<RuleWord> words;
    std::string_view comment; ///< Without the leading '#' and surrounding blanks.
    std::uint32_t commentColumn = 0; ///< Column of the '#'; one past the end of the line when the line has no comment.

    friend bool operator==(const RuleLine&, const RuleLine&) = default;
};

/// Splits a rule file into lines, words and comments. Empty lines and lines that hold only a
/// comment are left out. Never fails. Thread safe.
std::vector<RuleLine> splitRuleLines(std::string_view text);

}
