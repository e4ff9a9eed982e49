#pragma once

#include "query/rule_budget.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lycheefield {

/// The budgets of all rules, which the engines of an instance have in common. Thread safe; an engine
/// asks once for each rule and keeps what it got.
class RuleBudgets {
public:
    /// The budget of the rule of that name, never null: a new revision of the rule inherits it.
    std::shared_ptr<RuleBudget> of(const std::string& ruleName)
    {
        const std::lock_guard lock(m_mutex);
        auto& budget = m_budgets[ruleName];
        if (!budget)
            budget = std::make_shared<RuleBudget>();
        return budget;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<RuleBudget>> m_budgets;
};

}
