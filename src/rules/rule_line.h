#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheefield {

/// A word of a rule line and where it stands.
struct RuleWord {
    std::uint32_t column = 0; ///< From 1, counted in bytes.
    std::string_view text;

    friend bool operator==(const RuleWord&, const RuleWord&) = default;
};

/// One line of a rule file, split but not yet understood. Views into the text it was split from.
struct RuleLine {
    std::uint32_t number = 0; ///< From 1.
    std::vector<RuleWord> words;
    std::string_view comment; ///< Without the leading '#' and the blanks around it.
    std::uint32_t commentColumn = 0; ///< Column of the '#'; one past the line when there is none.

    friend bool operator==(const RuleLine&, const RuleLine&) = default;
};

/// Splits a rule file into lines, words and comments. Empty lines and lines that hold only a
/// comment are left out. Every text can be split. Thread safe.
std::vector<RuleLine> splitRuleLines(std::string_view text);

}
