#include "routing/route_table.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace lycheefield {

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto name = host.substr(0, host.find(':'));
    const Route* best = nullptr;
    for (const auto& it : routes) {
        const bool isLonger = !best || it.prefix.size() > best->prefix.size();
        if (isLonger && path.starts_with(it.prefix) && boost::beast::iequals(it.host, name))
            best = &it;
    }
    return best;
}

const Route* RouteTable::findSearch(std::string_view name, const SearchLimits& limits) const
{
    const auto it = std::find_if(routes.begin(), routes.end(), [&](const Route& route) { return route.name == name && route.isSearch() && route.searchLimits() == limits; });
    return it == routes.end() ? nullptr : &*it;
}

}
