#include "dispatch/leg_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheefield {

void LegQueue::push(RelayLeg leg)
{
    auto& line = m_lines.at(indexOf(leg.order->priority));
    const auto deadline = leg.deadline();
    line.emplace(deadline, std::move(leg));
    ++m_size;
}

RelayLeg LegQueue::take(Line& line, Line::iterator it)
{
    auto leg = std::move(it->second);
    line.erase(it);
    --m_size;
    return leg;
}

LegQueue::Line* LegQueue::nextLine()
{
    Line* highest = nullptr;
    Line* lower = nullptr;
    for (auto& line : m_lines) {
        if (line.empty())
            continue;
        if (!highest)
            highest = &line;
        else if (!lower)
            lower = &line;
    }
    if (!lower) {
        m_turnsAboveWaiting = 0;
        return highest;
    }
    if (++m_turnsAboveWaiting < fairnessInterval)
        return highest;
    m_turnsAboveWaiting = 0;
    return lower;
}

std::optional<RelayLeg> LegQueue::pop()
{
    auto* line = nextLine();
    if (!line)
        return std::nullopt;
    return take(*line, line->begin());
}

std::optional<RelayLeg> LegQueue::remove(const LegKey& key)
{
    for (auto& line : m_lines) {
        const auto it = std::find_if(line.begin(), line.end(), [&](const auto& entry) { return entry.second.key() == key; });
        if (it != line.end())
            return take(line, it);
    }
    return std::nullopt;
}

std::vector<RelayLeg> LegQueue::removeDue(TimePoint now)
{
    std::vector<RelayLeg> due;
    for (auto& line : m_lines) {
        while (!line.empty() && line.begin()->first <= now)
            due.push_back(take(line, line.begin()));
    }
    return due;
}

std::vector<RelayLeg> LegQueue::removeEntry(const InstanceName& entry)
{
    std::vector<RelayLeg> removed;
    for (auto& line : m_lines) {
        for (auto it = line.begin(); it != line.end();) {
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
        if (!line->empty())
            return &std::prev(line->end())->second;
    }
    return nullptr;
}

std::size_t LegQueue::countAhead(Priority priority, TimePoint deadline) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < indexOf(priority); ++i)
        n += m_lines.at(i).size();
    const auto& line = m_lines.at(indexOf(priority));
    return n + static_cast<std::size_t>(std::distance(line.begin(), line.upper_bound(deadline)));
}

TimePoint LegQueue::nextDeadline() const
{
    auto next = never;
    for (const auto& line : m_lines) {
        if (!line.empty())
            next = std::min(next, line.begin()->first);
    }
    return next;
}

}
