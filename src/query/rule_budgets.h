#pragma once

#include "query/rule_budget.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lycheefield {

/// The budgets of all rules, shared by the engines of an instance. Thread safe. An engine looks up the
/// budget of a rule once and keeps the pointer.
class RuleBudgets {
public:
    /// Returns the budget of the rule of that name, never null. A new revision of the rule inherits the budget.
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
