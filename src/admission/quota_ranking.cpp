#include "admission/quota_ranking.h"

#include "base/fingerprint.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheefield {

namespace {

/// Instances that keep quotas, so that the loss of one concerns few teams; in large fleets one of so many.
constexpr std::size_t minCandidates = 8;
constexpr std::size_t instancesPerCandidate = 16;

}

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

std::size_t QuotaRanking::keepersAmong(std::size_t instances)
{
    return std::min(instances, std::max(minCandidates, instances / instancesPerCandidate));
}

std::set<InstanceName> QuotaRanking::candidates() const
{
    std::set<InstanceName> names;
    for (const auto& [name, weight] : m_candidates)
        names.insert(name);
    return names;
}

QuotaRanking::Weights QuotaRanking::candidatesOf(const Weights& weights)
{
    std::vector<const Weights::value_type*> order;
    for (const auto& it : weights)
        order.push_back(&it);
    const auto keyOf = [](const Weights::value_type* it) { return std::tuple(-it->second, stableHash(it->first.value())); };
    std::sort(order.begin(), order.end(), [&](const auto* a, const auto* b) { return keyOf(a) < keyOf(b); });
    order.resize(keepersAmong(order.size()));
    Weights candidates;
    for (const auto* it : order)
        candidates.insert(*it);
    return candidates;
}

bool QuotaRanking::setInstances(const std::vector<Instance>& instances)
{
    Weights weights;
    for (const auto& it : instances)
        weights.emplace(it.name, it.cores);
    if (weights == m_weights)
        return false;
    m_weights = std::move(weights);
    setCandidates(candidatesOf(m_weights));
    return true;
}

void QuotaRanking::setCandidates(const Weights& candidates)
{
    std::vector<InstanceName> lost;
    for (const auto& [name, weight] : m_candidates) {
        const auto it = candidates.find(name);
        if (it == candidates.end() || it->second != weight)
            lost.push_back(name);
    }
    const auto isLost = [&](const InstanceName* name) { return name && std::find(lost.begin(), lost.end(), *name) != lost.end(); };
    for (auto& [team, keepers] : m_keepers) {
        if (isLost(keepers.keeper) || isLost(keepers.standby))
            keepers = {};
    }
    for (const auto& it : lost)
        m_candidates.erase(it);
    std::vector<const Weights::value_type*> added;
    for (const auto& it : candidates) {
        const auto [place, isNew] = m_candidates.insert(it);
        if (isNew)
            added.push_back(&*place);
    }
    for (auto& [team, keepers] : m_keepers) {
        if (!keepers.keeper || !keepers.standby) {
            rank(team, keepers);
            continue;
        }
        for (const auto* it : added)
            place(team, *it, keepers);
    }
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
    for (const auto& [name, weight] : m_candidates) {
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
    const auto isBefore = [&](const InstanceName* other) { return !other || score(team, instance) > score(team, *m_candidates.find(*other)); };
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
