#include "quota_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lycheefield {

double QuotaFleet::excess(const TeamRecord& team) const
{
    const auto window = m_settings.quotaWindow;
    const auto most = [&](const Team& quota) {
        return (quota.ratePerSecond * std::chrono::duration<double>(window).count() + quota.burst) * (1 + m_settings.quotaTolerance.value) + m_settings.quotaSlack;
    };
    // A lower quota binds once all running instances know it.
    const bool isLowInForce = std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node& it) { return !it.engine || it.isLowered; });
    double worst = -most(team.quota);
    std::size_t last = 0;
    for (std::size_t first = 0; first < team.admissions.size(); ++first) {
        while (last < team.admissions.size() && team.admissions[last] < team.admissions[first] + window)
            ++last;
        const bool isLowered = isLowInForce && team.admissions[first] > m_lowAppliedAt;
        worst = std::max(worst, static_cast<double>(last - first) - most(isLowered ? team.laterQuota : team.quota));
    }
    return worst;
}

double QuotaFleet::worstExcess() const
{
    double worst = excess(m_teams.front());
    for (const auto& it : m_teams)
        worst = std::max(worst, excess(it));
    return worst;
}

std::size_t QuotaFleet::allowedOf(const TeamRecord& team)
{
    return allowedOf(team.arrivals, team.quota, std::max(1.0, team.quota.burst), team.arrivals.empty() ? TimePoint() : team.arrivals.front());
}

std::size_t QuotaFleet::allowedOf(const std::vector<TimePoint>& arrivals, const Team& quota, double level, TimePoint from)
{
    const auto capacity = std::max(1.0, quota.burst);
    std::size_t count = 0;
    for (const auto& it : arrivals) {
        level = std::min(capacity, level + quota.ratePerSecond * std::chrono::duration<double>(it - std::exchange(from, it)).count());
        if (level < 1)
            continue;
        --level;
        ++count;
    }
    return count;
}

std::size_t QuotaFleet::admitted() const
{
    std::size_t count = 0;
    for (const auto& it : m_teams)
        count += it.admissions.size();
    return count;
}

std::size_t QuotaFleet::allowed() const
{
    std::size_t count = 0;
    for (const auto& it : m_teams)
        count += allowedOf(it);
    return count;
}

double QuotaFleet::shareAfterStart(bool hasFormerKeeper) const
{
    double admitted = 0;
    double allowed = 0;
    for (std::size_t i = 0; i < m_teams.size(); ++i) {
        if (m_lostKeepers.contains(i) == hasFormerKeeper)
            continue;
        const auto& team = m_teams[i];
        admitted += team.admittedAfterStart;
        // No burst: a bucket is empty at the start.
        allowed += static_cast<double>(allowedOf(team.arrivalsAfterStart, team.quota, 0, m_servedFrom));
    }
    constexpr double uncounted = 2;
    return allowed == 0 ? 1 : std::min(1.0, (admitted + uncounted) / allowed);
}

double QuotaFleet::worstShare() const
{
    constexpr double uncounted = 2;
    double worst = 1;
    for (const auto& it : m_teams) {
        const auto expected = static_cast<double>(allowedOf(it));
        if (expected > uncounted)
            worst = std::min(worst, (static_cast<double>(it.admissions.size()) + uncounted) / expected);
    }
    return worst;
}

std::string QuotaFleet::describe() const
{
    auto text = std::to_string(m_nodes.size()) + " instances";
    for (const auto& it : m_teams)
        text += "; rate " + std::to_string(it.quota.ratePerSecond) + " burst " + std::to_string(it.quota.burst) + " arrivals " + std::to_string(it.arrivals.size()) + " allowed " + std::to_string(allowedOf(it)) + " admitted " + std::to_string(it.admissions.size()) + " excess " + std::to_string(excess(it));
    return text;
}

}
