#include "rules/rule_check.h"

#include <algorithm>
#include <map>

namespace lycheefield {

namespace {

/// Checks each rule on its own, against the other rules and against the catalog.
class RuleChecker {
public:
    RuleChecker(const RuleTable& table, const std::optional<ShardCounts>& counts)
        : m_table(table)
        , m_counts(counts)
    {
    }

    std::vector<RuleError> check()
    {
        for (const auto& it : m_table.rules()) {
            checkPath(it);
            checkName(it);
            checkService(it);
            checkDeadlines(it);
            checkCoverage(it);
            checkOrder(it);
        }
        return std::move(m_errors);
    }

private:
    void report(const Rule& rule, std::string message, std::string remedy)
    {
        m_errors.push_back({ rule.line, 1, std::move(message), std::move(remedy) });
    }

    /// Of two rules with the same path only the first is used.
    void checkPath(const Rule& rule)
    {
        const auto [it, isNew] = m_paths.emplace(rule.pathPrefix, rule.line);
        if (!isNew)
            report(rule, "'" + rule.pathPrefix + "' is shadowed by line " + std::to_string(it->second), "keep one rule for each path");
    }

    void checkName(const Rule& rule)
    {
        const auto [it, isNew] = m_names.emplace(rule.name, rule.line);
        if (!isNew && m_paths[rule.pathPrefix] == rule.line)
            report(rule, "the name '" + rule.name + "' is already used in line " + std::to_string(it->second), "give each rule a unique name");
    }

    void checkService(const Rule& rule)
    {
        if (m_counts && !m_counts->contains(rule.service))
            report(rule, "the catalog has no service '" + rule.service.value() + "'", "use one of " + serviceNames());
    }

    void checkDeadlines(const Rule& rule)
    {
        const bool hasSoft = rule.softDeadline > Duration::zero();
        if (hasSoft && rule.softDeadline >= rule.deadline)
            report(rule, "soft is not below the deadline", "make the soft deadline shorter, or leave soft out");
        if (rule.preference == AnswerPreference::Tail && !hasSoft)
            report(rule, "'prefer tail' needs a soft deadline", "add 'soft TIME' below the deadline");
        if (rule.preference == AnswerPreference::Coverage && hasSoft)
            report(rule, "soft has no effect without 'prefer tail'", "add 'prefer tail', or leave soft out");
    }

    void checkCoverage(const Rule& rule)
    {
        if (rule.minCoverage.value <= 0)
            report(rule, "coverage 0% would accept an empty answer", "write a coverage above 0%");
        if (rule.preference == AnswerPreference::Tail && rule.minCoverage.value >= 1)
            report(rule, "'prefer tail' with coverage 100% can never answer early", "write a lower coverage, or 'prefer coverage'");
        if (rule.kind != RequestKind::Search && rule.minCoverage.value < 1)
            report(rule, "a record or an order uses one shard, so coverage below 100% is impossible", "leave coverage out");
        if (rule.kind != RequestKind::Search && rule.preference == AnswerPreference::Tail)
            report(rule, "a record or an order has no partial answer", "leave 'prefer tail' out");
    }

    void checkOrder(const Rule& rule)
    {
        if (rule.kind != RequestKind::Order)
            return;
        if (rule.hedgeBudget.value > 0)
            report(rule, "an order is never hedged", "write 'hedge 0%'");
        if (rule.retryBudget.value > 0)
            report(rule, "an order is never retried", "write 'retry 0%'");
    }

    std::string serviceNames() const
    {
        std::string names;
        for (const auto& [name, shards] : *m_counts)
            names += (names.empty() ? "" : ", ") + name.value();
        return names.empty() ? "no service at all: the catalog is empty" : names;
    }

    const RuleTable& m_table;
    const std::optional<ShardCounts>& m_counts;
    std::map<std::string, std::uint32_t> m_paths;
    std::map<std::string, std::uint32_t> m_names;
    std::vector<RuleError> m_errors;
};

}

std::vector<RuleError> checkRules(const RuleTable& table, const std::optional<ShardCounts>& counts)
{
    return RuleChecker(table, counts).check();
}

}
