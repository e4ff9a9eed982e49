#pragma once

#include "base/time.h"
#include "base/units.h"

#include <array>
#include <cstdint>

namespace lycheefield {

/// What the fleet allows in sends beyond the first of each request to one service.
struct ExtraAttemptBudgetLimits {
    Share ratio { 0.2 }; ///< Of the first sends in the window.
    double slack = 0; ///< Extra sends besides, of this instance alone.
    Duration window = std::chrono::seconds(10);

    friend bool operator==(const ExtraAttemptBudgetLimits&, const ExtraAttemptBudgetLimits&) = default;
};

/// Counts first and extra sends of this instance to one service over a sliding window. Each
/// instance spends only what its own requests earn and its part of the slack, so that the sum over
/// all instances keeps to the fleet's limit without any exchange. Not thread safe.
class ExtraAttemptBudget {
public:
    void noteFirst(TimePoint, Duration window);
    /// Takes one extra send; false, and nothing is taken, when the window has no room for it.
    bool takeExtra(TimePoint, const ExtraAttemptBudgetLimits&);
    /// Whether takeExtra would succeed.
    bool hasExtra(TimePoint, const ExtraAttemptBudgetLimits&);

private:
    static constexpr std::size_t slices = 10; ///< Of a window; one more is kept, as the window starts within a slice.

    void advance(TimePoint, Duration window);

    std::array<std::uint32_t, slices + 1> m_firsts {};
    std::array<std::uint32_t, slices + 1> m_extras {};
    std::int64_t m_slice = -1; ///< Number of the newest slice since the origin of time.
    std::uint32_t m_firstSum = 0;
    std::uint32_t m_extraSum = 0;
};

}
