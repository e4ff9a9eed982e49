#include "rules/rule_table.h"

namespace lycheefield {

RuleTable::RuleTable(RuleRevision revision, std::vector<Rule> rules, std::string source)
    : m_revision(revision)
    , m_rules(std::move(rules))
    , m_source(std::move(source))
{
}

const Rule* RuleTable::match(std::string_view path) const
{
    const Rule* best = nullptr;
    for (const auto& it : m_rules) {
        if (path.starts_with(it.pathPrefix) && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

}
