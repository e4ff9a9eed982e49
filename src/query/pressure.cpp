#include "query/pressure.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

Pressure::Pressure(const std::vector<double>& waitShares)
{
    for (const auto it : waitShares)
        m_value += std::clamp(it, 0.0, 1.0) / static_cast<double>(waitShares.size());
}

std::size_t Pressure::legsToShed(std::size_t spare, const QuerySettings& settings) const
{
    const auto from = settings.minShedPressure.value;
    const auto allFrom = settings.fullShedPressure.value;
    if (m_value < from)
        return 0;
    const auto share = allFrom > from ? std::min(1.0, (m_value - from) / (allFrom - from)) : 1.0;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(share * static_cast<double>(spare))), std::min<std::size_t>(spare, 1), spare);
}

}
