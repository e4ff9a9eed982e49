#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "rules/rule_table.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheefield {

/// An error in a rule file: its position, what is wrong and what to write instead.
struct RuleError {
    std::uint32_t line = 0; ///< Counted from 1.
    std::uint32_t column = 0; ///< In bytes, counted from 1.
    std::string message;
    std::string remedy;

    friend bool operator==(const RuleError&, const RuleError&) = default;
    friend std::ostream& operator<<(std::ostream&, const RuleError&);
};

using ParsedRules = std::variant<RuleTable, std::vector<RuleError>>;

/// Parses a whole rule file. Returns a table when every line is valid, otherwise all errors. Thread safe.
ParsedRules parseRules(std::string_view text, RuleRevision);

}
