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

/// One mistake in a rule file: where it is, what is wrong and what to write instead.
struct RuleError {
    std::uint32_t line = 0; ///< From 1.
    std::uint32_t column = 0; ///< From 1.
    std::string message;
    std::string remedy;

    friend bool operator==(const RuleError&, const RuleError&) = default;
    friend std::ostream& operator<<(std::ostream&, const RuleError&);
};

using ParsedRules = std::variant<RuleTable, std::vector<RuleError>>;

/// Parses a whole rule file. Either every line is good and a table comes back, or all errors do.
/// Thread safe.
ParsedRules parseRules(std::string_view text, RuleRevision);

}
