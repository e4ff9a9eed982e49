#include "admission/quota_ranking.h"

#include "base/fingerprint.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void QuotaRanking::setTeams(const std::vector<TeamName>& teams)
{
    std::unordered_map<TeamName, QuotaKeepers> keepers;
    for (const auto& it : teams) {
        const auto known = m_keepers.find(it);
        auto& ranked = keepers[it];
        if (known != m_keepers.end())
            ranked = known->second;
        else
            rank(it, ranked);
    }
    m_keepers = std::move(keepers);
}

bool QuotaRanking::setInstances(const std::vector<Instance>& instances)
{
    Weights weights;
    for (const auto& it : instances)
        weights.emplace(it.name, it.cores);
    if (weights == m_weights)
        return false;
    std::vector<const InstanceName*> lost;
    for (const auto& [name, weight] : m_weights) {
        const auto it = weights.find(name);
        if (it == weights.end() || it->second != weight)
            lost.push_back(&name);
    }
    const auto isLost = [&](const InstanceName* name) { return std::find(lost.begin(), lost.end(), name) != lost.end(); };
    std::vector<const TeamName*> unranked;
    for (const auto& [team, keepers] : m_keepers) {
        if (isLost(keepers.keeper) || isLost(keepers.standby))
            unranked.push_back(&team);
    }
    std::vector<InstanceName> lostNames;
    for (const auto* it : lost)
        lostNames.push_back(*it);
    for (const auto& it : lostNames)
        m_weights.erase(it);
    std::vector<const Weights::value_type*> added;
    for (const auto& it : weights) {
        const auto [place, isNew] = m_weights.insert(it);
        if (isNew)
            added.push_back(&*place);
    }
    for (const auto* it : unranked)
        m_keepers[*it] = {};
    for (auto& [team, keepers] : m_keepers) {
        if (!keepers.keeper || !keepers.standby) {
            rank(team, keepers);
            continue;
        }
        for (const auto* it : added)
            place(team, *it, keepers);
    }
    return true;
}

double QuotaRanking::score(const TeamName& team, const Weights::value_type& instance) const
{
    return rendezvousScore(stableHash(instance.first.value(), stableHash(team.value())), instance.second);
}

void QuotaRanking::rank(const TeamName& team, QuotaKeepers& keepers) const
{
    keepers = {};
    double best = -1;
    double second = -1;
    const auto seed = stableHash(team.value());
    for (const auto& [name, weight] : m_weights) {
        const auto score = rendezvousScore(stableHash(name.value(), seed), weight);
        if (score > best) {
            second = std::exchange(best, score);
            keepers = { &name, keepers.keeper };
        } else if (score > second) {
            second = score;
            keepers.standby = &name;
        }
    }
}

void QuotaRanking::place(const TeamName& team, const Weights::value_type& instance, QuotaKeepers& keepers) const
{
    const auto isBefore = [&](const InstanceName* other) { return !other || score(team, instance) > score(team, *m_weights.find(*other)); };
    if (isBefore(keepers.keeper))
        keepers = { &instance.first, keepers.keeper };
    else if (isBefore(keepers.standby))
        keepers.standby = &instance.first;
}

std::size_t QuotaRanking::rankOf(const TeamName& team, const InstanceName& instance) const
{
    const auto own = m_weights.find(instance);
    if (own == m_weights.end())
        return m_weights.size();
    const auto ownScore = score(team, *own);
    return static_cast<std::size_t>(std::count_if(m_weights.begin(), m_weights.end(), [&](const auto& it) { return score(team, it) > ownScore; }));
}

}
