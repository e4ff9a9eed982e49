#include "routing/split_picker.h"

#include <algorithm>

namespace lycheefield {

const ServiceName& SplitPicker::pick(const Route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto& rotation = m_rotations[route.name];
    if (rotation.targets != route.targets)
        rotation = { route.targets, std::vector<double>(route.targets.size(), 0) };
    double sum = 0;
    for (std::size_t i = 0; i < rotation.targets.size(); ++i) {
        rotation.currentWeights[i] += rotation.targets[i].weight;
        sum += rotation.targets[i].weight;
    }
    const auto it = std::max_element(rotation.currentWeights.begin(), rotation.currentWeights.end());
    *it -= sum;
    return route.targets[static_cast<std::size_t>(it - rotation.currentWeights.begin())].service;
}

void SplitPicker::keepOnly(const std::vector<Route>& routes)
{
    std::erase_if(m_rotations, [&](const auto& entry) {
        return std::none_of(routes.begin(), routes.end(), [&](const Route& route) { return route.name == entry.first; });
    });
}

}
