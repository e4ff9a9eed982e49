#include "routing/route.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

std::size_t Route::minimumOf(std::size_t n) const
{
    constexpr double rounding = 1e-9;
    const auto needed = std::ceil(static_cast<double>(n) * minCoverage.value - rounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, needed)));
}

}
