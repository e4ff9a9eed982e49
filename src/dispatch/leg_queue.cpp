#include "dispatch/leg_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheefield {

namespace {

/// Weight of the newest gap in the moving average: 1 / gapWeight.
constexpr int gapWeight = 8;

}

void LegQueue::push(RelayLeg leg, TimePoint now)
{
    auto& line = m_lines.at(indexOf(leg.order->priority));
    if (line.legs.empty()) {
        line.waitingSince = now;
        line.hadTurn = false;
    }
    const auto deadline = leg.deadline();
    line.legs.emplace(deadline, std::move(leg));
    line.starvingSince = std::min(line.starvingSince, now);
    ++m_size;
}

RelayLeg LegQueue::take(Line& line, Legs::iterator it)
{
    auto leg = std::move(it->second);
    line.legs.erase(it);
    --m_size;
    return leg;
}

LegQueue::Line* LegQueue::nextLine(TimePoint now)
{
    Line* next = nullptr;
    for (auto& line : m_lines) {
        if (!line.legs.empty() && (!next || line.isStarved(now)))
            next = &line;
    }
    return next;
}

std::optional<RelayLeg> LegQueue::pop(TimePoint now)
{
    auto* line = nextLine(now);
    if (!line)
        return std::nullopt;
    auto leg = take(*line, line->legs.begin());
    auto& average = line->hadTurn ? line->turnGap : line->firstWait;
    average += (now - line->waitingSince - average) / gapWeight;
    line->hadTurn = !line->legs.empty();
    line->waitingSince = now;
    line->starvingSince = line->hadTurn ? now : never;
    return leg;
}

bool LegQueue::isTurnDue(Priority priority, TimePoint now) const
{
    const auto& line = m_lines.at(indexOf(priority));
    return line.legs.empty() && line.isStarved(now);
}

std::optional<RelayLeg> LegQueue::remove(const LegKey& key)
{
    for (auto& line : m_lines) {
        const auto it = std::find_if(line.legs.begin(), line.legs.end(), [&](const auto& entry) { return entry.second.key() == key; });
        if (it != line.legs.end())
            return take(line, it);
    }
    return std::nullopt;
}

std::vector<RelayLeg> LegQueue::removeDue(TimePoint now)
{
    std::vector<RelayLeg> due;
    for (auto& line : m_lines) {
        while (!line.legs.empty() && line.legs.begin()->first <= now)
            due.push_back(take(line, line.legs.begin()));
    }
    return due;
}

std::vector<RelayLeg> LegQueue::removeEntry(const InstanceName& entry)
{
    std::vector<RelayLeg> removed;
    for (auto& line : m_lines) {
        for (auto it = line.legs.begin(); it != line.legs.end();) {
            const auto next = std::next(it);
            if (it->second.order->entry == entry)
                removed.push_back(take(line, it));
            it = next;
        }
    }
    return removed;
}

std::vector<RelayLeg> LegQueue::removeAll()
{
    return removeDue(never);
}

const RelayLeg* LegQueue::last() const
{
    for (auto line = m_lines.rbegin(); line != m_lines.rend(); ++line) {
        if (!line->legs.empty())
            return &std::prev(line->legs.end())->second;
    }
    return nullptr;
}

std::size_t LegQueue::countAhead(Priority priority, TimePoint deadline) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < indexOf(priority); ++i)
        n += m_lines.at(i).legs.size();
    const auto& line = m_lines.at(indexOf(priority)).legs;
    return n + static_cast<std::size_t>(std::distance(line.begin(), line.upper_bound(deadline)));
}

Duration LegQueue::waitForTurn(Priority priority, TimePoint deadline) const
{
    const auto& line = m_lines.at(indexOf(priority));
    const auto ahead = std::distance(line.legs.begin(), line.legs.upper_bound(deadline));
    return line.firstWait + line.turnGap * ahead;
}

TimePoint LegQueue::nextDeadline() const
{
    auto next = never;
    for (const auto& line : m_lines) {
        if (!line.legs.empty())
            next = std::min(next, line.legs.begin()->first);
    }
    return next;
}

PriorityCounts LegQueue::counts() const
{
    PriorityCounts counts;
    for (const auto priority : { Priority::Van, Priority::Desk, Priority::Batch })
        counts.at(priority) = static_cast<std::uint32_t>(m_lines[indexOf(priority)].legs.size());
    return counts;
}

}
