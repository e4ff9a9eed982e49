#include "routing/split_picker.h"

#include <algorithm>

namespace lycheefield {

const ServiceName& SplitPicker::pick(const Route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto& turns = m_turns[route.name];
    if (turns.targets != route.targets)
        turns = { route.targets, std::vector<double>(route.targets.size(), 0) };
    double sum = 0;
    for (std::size_t i = 0; i < turns.targets.size(); ++i) {
        turns.credits[i] += turns.targets[i].weight;
        sum += turns.targets[i].weight;
    }
    const auto it = std::max_element(turns.credits.begin(), turns.credits.end());
    *it -= sum;
    return route.targets[static_cast<std::size_t>(it - turns.credits.begin())].service;
}

void SplitPicker::keepOnly(const std::vector<Route>& routes)
{
    std::erase_if(m_turns, [&](const auto& entry) {
        return std::none_of(routes.begin(), routes.end(), [&](const Route& route) { return route.name == entry.first; });
    });
}

}
