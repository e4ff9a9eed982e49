#include "forward/fair_queue.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void FairQueue::unlink(Class& it, const TeamName& team, const Flow& flow)
{
    if (flow.legs.empty())
        it.ahead.erase({ flow.start, team });
    else
        it.order.erase({ flow.start, flow.legs.begin()->first, team });
}

void FairQueue::link(Class& it, const TeamName& team, const Flow& flow)
{
    if (flow.legs.empty())
        it.ahead.emplace(flow.start, team);
    else
        it.order.emplace(flow.start, flow.legs.begin()->first, team);
}

void FairQueue::forgetIdle(Class& it)
{
    while (!it.ahead.empty() && it.ahead.begin()->first <= it.now) {
        it.flows.erase(it.ahead.begin()->second);
        it.ahead.erase(it.ahead.begin());
    }
}

void FairQueue::discardIfIdle(std::map<LegPriority, Class>::iterator it)
{
    if (it->second.order.empty())
        m_classes.erase(it);
    else
        forgetIdle(it->second);
}

void FairQueue::insert(const WaitingLeg& leg)
{
    auto& group = m_classes[leg.priority()];
    const auto [it, isNew] = group.flows.try_emplace(leg.team);
    auto& flow = it->second;
    if (isNew)
        flow.start = group.now;
    else
        unlink(group, leg.team, flow);
    m_size += flow.legs.emplace(ageOf(leg), leg).second ? 1 : 0;
    link(group, leg.team, flow);
}

void FairQueue::erase(const WaitingLeg& leg)
{
    const auto group = m_classes.find(leg.priority());
    if (group == m_classes.end())
        return;
    const auto it = group->second.flows.find(leg.team);
    if (it == group->second.flows.end())
        return;
    unlink(group->second, leg.team, it->second);
    m_size -= it->second.legs.erase(ageOf(leg));
    link(group->second, leg.team, it->second);
    discardIfIdle(group);
}

void FairQueue::recordSent(const WaitingLeg& leg)
{
    const auto group = m_classes.find(leg.priority());
    if (group == m_classes.end())
        return;
    auto& [key, it] = *group;
    const auto [entry, isNew] = it.flows.try_emplace(leg.team);
    auto& flow = entry->second;
    if (isNew)
        flow.start = it.now;
    else
        unlink(it, leg.team, flow);
    // A leg that is sent out of turn does not move the others' time.
    const bool isInTurn = it.order.empty() || flow.start <= std::get<Turn>(*it.order.begin());
    if (isInTurn)
        it.now = std::max(it.now, flow.start);
    ++flow.start;
    m_size -= flow.legs.erase(ageOf(leg));
    link(it, leg.team, flow);
    discardIfIdle(group);
}

const WaitingLeg& FairQueue::next() const
{
    const auto& group = m_classes.begin()->second;
    const auto& team = std::get<TeamName>(*group.order.begin());
    return group.flows.at(team).legs.begin()->second;
}

FairQueue::Turn FairQueue::turnOf(const Class& group, const WaitingLeg& leg)
{
    const auto own = group.flows.find(leg.team);
    if (own == group.flows.end())
        return group.now;
    // Most legs that ask are near one end of a long queue.
    const auto& legs = own->second.legs;
    auto before = legs.lower_bound(ageOf(leg));
    auto after = before;
    Turn steps = 0;
    while (before != legs.begin() && after != legs.end()) {
        --before;
        ++after;
        ++steps;
    }
    return own->second.start + (before == legs.begin() ? steps : legs.size() - steps);
}

bool FairQueue::goesFirst(const WaitingLeg& leg) const
{
    if (m_classes.empty() || leg.priority() != m_classes.begin()->first)
        return m_classes.empty() || leg.priority() < m_classes.begin()->first;
    const auto& group = m_classes.begin()->second;
    const auto& [start, age, team] = *group.order.begin();
    return std::pair(turnOf(group, leg), ageOf(leg)) <= std::pair(start, age);
}

std::size_t FairQueue::countAhead(const WaitingLeg& leg) const
{
    std::size_t ahead = 0;
    for (const auto& [key, group] : m_classes) {
        if (key > leg.priority())
            break;
        const auto turn = turnOf(group, leg);
        for (const auto& [team, flow] : group.flows) {
            // At equal turns the older leg goes first; the count assumes that the other team's leg is older.
            const auto end = turn + (team == leg.team ? 0 : 1);
            const bool isMoreUrgent = key < leg.priority();
            ahead += isMoreUrgent ? flow.legs.size() : std::min<std::size_t>(flow.legs.size(), std::max(end, flow.start) - flow.start);
        }
    }
    return ahead;
}

std::size_t FairQueue::trackedTeams() const
{
    std::size_t count = 0;
    for (const auto& [key, group] : m_classes)
        count += group.flows.size();
    return count;
}

}
