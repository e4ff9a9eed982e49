#include "quota_role_log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lycheefield::soak {

namespace {

std::string textOf(const boost::json::object& line, const char* name)
{
    const auto* value = line.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

}

void QuotaRoleLog::add(const std::string& gateway, std::istream& log)
{
    std::map<std::string, std::int64_t> held; ///< Since when.
    std::int64_t last = 0;
    const auto end = [&](const std::string& role, std::int64_t from, std::int64_t until) { m_tenures[role].push_back({ gateway, from, until }); };
    const auto endAll = [&] {
        for (const auto& [role, from] : std::exchange(held, {}))
            end(role, from, last);
    };
    for (std::string text; std::getline(log, text);) {
        boost::json::error_code ec;
        const auto parsed = boost::json::parse(text, ec);
        const auto* line = ec ? nullptr : parsed.if_object();
        const auto* at = line ? line->if_contains("at_us") : nullptr;
        if (!at || !at->is_int64())
            continue;
        const auto event = textOf(*line, "event");
        if (event == "started")
            endAll();
        last = at->as_int64();
        const auto role = textOf(*line, "team") + " " + textOf(*line, "role");
        if (event == "quota role gained")
            held.emplace(role, last);
        else if (const auto it = held.find(role); event == "quota role lost" && it != held.end())
            end(role, held.extract(it).mapped(), last);
    }
    endAll();
}

std::size_t QuotaRoleLog::overlaps() const
{
    std::size_t n = 0;
    for (const auto& [role, tenures] : m_tenures) {
        for (auto it = tenures.begin(); it != tenures.end(); ++it)
            n += static_cast<std::size_t>(std::count_if(std::next(it), tenures.end(), [&](const Tenure& other) { return it->from < other.until && other.from < it->until; }));
    }
    return n;
}

std::size_t QuotaRoleLog::gains() const
{
    std::size_t n = 0;
    for (const auto& [role, tenures] : m_tenures)
        n += tenures.size();
    return n;
}

}
