#pragma once

#include "base/time.h"
#include "base/units.h"

#include <array>
#include <cstdint>

namespace lycheefield {

/// Limits on the fleet's extra attempts (hedges and retries) to one service.
struct ExtraAttemptBudgetLimits {
    Share ratio { 0.2 }; ///< Extra attempts per first attempt in the window.
    double slack = 0; ///< Extra attempts of this instance in each window in addition to the ratio.
    Duration window = std::chrono::seconds(10);

    friend bool operator==(const ExtraAttemptBudgetLimits&, const ExtraAttemptBudgetLimits&) = default;
};

/// Returns one instance's share of the fleet's slack. A share of nearly one attempt is rounded to one: in a large fleet
/// no instance could otherwise repeat an attempt at a service to which it sends little.
double slackShare(double fleetSlack, std::uint32_t instances);

/// Counts the first and extra attempts of this instance to one service over a sliding window. Each
/// instance spends only what its own requests earn plus its share of the slack, so that the fleet as a
/// whole stays within its limit without coordination. Not thread safe.
class ExtraAttemptBudget {
public:
    void recordFirst(TimePoint, Duration window);
    /// Takes one extra attempt from the budget. Returns false, without taking it, when the budget is exhausted.
    bool takeExtra(TimePoint, const ExtraAttemptBudgetLimits&);
    /// Returns whether takeExtra would succeed.
    bool hasExtra(TimePoint, const ExtraAttemptBudgetLimits&);

private:
    static constexpr std::size_t slices = 10; ///< Slices of a window. One more is kept, because the window begins within a slice.

    void advance(TimePoint, Duration window);

    std::array<std::uint32_t, slices + 1> m_firsts {};
    std::array<std::uint32_t, slices + 1> m_extras {};
    std::int64_t m_slice = -1; ///< Index of the newest slice, counted from the clock's epoch.
    std::uint32_t m_firstSum = 0;
    std::uint32_t m_extraSum = 0;
};

}
