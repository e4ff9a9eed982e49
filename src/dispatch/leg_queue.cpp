#include "dispatch/leg_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheefield {

namespace {

/// Smoothing of the moving averages: the newest sample weighs 1 / smoothingDivisor.
constexpr int smoothingDivisor = 8;

}

void LegQueue::push(RelayLeg leg, TimePoint now)
{
    auto& level = m_levels.at(indexOf(leg.order->priority));
    if (level.legs.empty()) {
        level.waitingSince = now;
        level.hadTurn = false;
    }
    const auto deadline = leg.deadline();
    level.legs.emplace(deadline, std::move(leg));
    level.starvingSince = std::min(level.starvingSince, now);
    ++m_size;
}

RelayLeg LegQueue::take(PriorityLevel& level, Legs::iterator it)
{
    auto leg = std::move(it->second);
    level.legs.erase(it);
    --m_size;
    return leg;
}

LegQueue::PriorityLevel* LegQueue::nextLevel(TimePoint now)
{
    PriorityLevel* next = nullptr;
    for (auto& level : m_levels) {
        if (!level.legs.empty() && (!next || level.isStarved(now)))
            next = &level;
    }
    return next;
}

std::optional<RelayLeg> LegQueue::pop(TimePoint now)
{
    auto* level = nextLevel(now);
    if (!level)
        return std::nullopt;
    auto leg = take(*level, level->legs.begin());
    auto& average = level->hadTurn ? level->turnInterval : level->firstWait;
    average += (now - level->waitingSince - average) / smoothingDivisor;
    level->hadTurn = !level->legs.empty();
    level->waitingSince = now;
    level->starvingSince = level->hadTurn ? now : never;
    return leg;
}

bool LegQueue::isTurnDue(Priority priority, TimePoint now) const
{
    const auto& level = m_levels.at(indexOf(priority));
    return level.legs.empty() && level.isStarved(now);
}

std::optional<RelayLeg> LegQueue::remove(const LegKey& key)
{
    for (auto& level : m_levels) {
        const auto it = std::find_if(level.legs.begin(), level.legs.end(), [&](const auto& entry) { return entry.second.key() == key; });
        if (it != level.legs.end())
            return take(level, it);
    }
    return std::nullopt;
}

std::vector<RelayLeg> LegQueue::removeExpired(TimePoint now)
{
    std::vector<RelayLeg> expired;
    for (auto& level : m_levels) {
        while (!level.legs.empty() && level.legs.begin()->first <= now)
            expired.push_back(take(level, level.legs.begin()));
    }
    return expired;
}

std::vector<RelayLeg> LegQueue::removeByEntry(const InstanceName& entry)
{
    std::vector<RelayLeg> removed;
    for (auto& level : m_levels) {
        for (auto it = level.legs.begin(); it != level.legs.end();) {
            const auto next = std::next(it);
            if (it->second.order->entry == entry)
                removed.push_back(take(level, it));
            it = next;
        }
    }
    return removed;
}

std::vector<RelayLeg> LegQueue::removeAll()
{
    return removeExpired(never);
}

const RelayLeg* LegQueue::last() const
{
    for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
        if (!level->legs.empty())
            return &std::prev(level->legs.end())->second;
    }
    return nullptr;
}

std::size_t LegQueue::countAhead(Priority priority, TimePoint deadline) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < indexOf(priority); ++i)
        n += m_levels.at(i).legs.size();
    const auto& legs = m_levels.at(indexOf(priority)).legs;
    return n + static_cast<std::size_t>(std::distance(legs.begin(), legs.upper_bound(deadline)));
}

Duration LegQueue::waitForTurn(Priority priority, TimePoint deadline) const
{
    const auto& level = m_levels.at(indexOf(priority));
    const auto ahead = std::distance(level.legs.begin(), level.legs.upper_bound(deadline));
    return level.firstWait + level.turnInterval * ahead;
}

TimePoint LegQueue::nextDeadline() const
{
    auto next = never;
    for (const auto& level : m_levels) {
        if (!level.legs.empty())
            next = std::min(next, level.legs.begin()->first);
    }
    return next;
}

PriorityCounts LegQueue::counts() const
{
    PriorityCounts counts;
    for (const auto priority : { Priority::Van, Priority::Desk, Priority::Batch })
        counts.at(priority) = static_cast<std::uint32_t>(m_levels[indexOf(priority)].legs.size());
    return counts;
}

}
