#pragma once

#include "base/ids.h"
#include "rules/rule.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// All rules of one accepted revision. Immutable; shared through Snapshot<RuleTable>.
class RuleTable {
public:
    RuleTable() = default;
    RuleTable(RuleRevision, std::vector<Rule>, std::string source);

    /// Returns the rule with the longest matching path prefix, or null. The pointer is valid as long as the table.
    const Rule* match(std::string_view path) const;

    RuleRevision revision() const { return m_revision; }
    const std::vector<Rule>& rules() const { return m_rules; }
    /// The text that the rules were parsed from.
    const std::string& source() const { return m_source; }

    friend bool operator==(const RuleTable&, const RuleTable&) = default;

private:
    RuleRevision m_revision;
    std::vector<Rule> m_rules;
    std::string m_source;
};

}
