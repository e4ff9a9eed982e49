#include "bench/dispatch/relay_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheefield::bench {

double ClassFigures::quantile(double q) const
{
    if (millis.empty())
        return 0;
    auto sorted = millis;
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

RelayLoad::RelayLoad(RelayTestBed& testBed, std::vector<std::vector<std::string>> replicas, ReplicaChoice choice)
    : m_testBed(testBed)
    , m_replicas(std::move(replicas))
    , m_choice(choice)
{
    m_testBed.onResult = [this](const LegResult& result) { onResult(result); };
    m_testBed.onServerState = [this](const ServerState& state) { m_states[state.server.value()] = state; };
}

void RelayLoad::start(const LoadClass& load, TimePoint until)
{
    const auto gap = -std::log(1 - m_testBed.random().unit()) / load.perSecond;
    const auto next = m_testBed.now() + Duration(static_cast<Duration::rep>(gap * 1e6));
    if (next < until)
        m_testBed.at(next, [this, load, until] { arrive(load, until); });
}

double RelayLoad::loadOf(const std::string& server, Priority priority) const
{
    const auto it = m_outstanding.find(server);
    if (it == m_outstanding.end())
        return 0;
    const auto last = m_choice == ReplicaChoice::FastestForPriority ? static_cast<std::size_t>(priority) : it->second.size() - 1;
    return std::accumulate(it->second.begin(), it->second.begin() + static_cast<std::ptrdiff_t>(last) + 1, 0.0);
}

std::string RelayLoad::choose(Priority priority)
{
    const auto& replicas = m_replicas[m_testBed.random().below(m_replicas.size())];
    std::vector<std::string> usable;
    for (const auto& it : replicas) {
        if (!m_states[it].draining && !m_states[it].ejected)
            usable.push_back(it);
    }
    if (usable.empty())
        usable = replicas;
    const auto picked = usable[m_testBed.random().below(usable.size())];
    if (m_choice == ReplicaChoice::Random)
        return picked;
    const auto cost = [&](const std::string& it) { return static_cast<double>(m_states[it].recentLatency.count()) * (1 + loadOf(it, priority)); };
    return *std::min_element(usable.begin(), usable.end(), [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
}

void RelayLoad::arrive(const LoadClass& load, TimePoint until)
{
    start(load, until);
    const auto server = choose(load.priority);
    const LegKey key { { ProcessLife(1), ++m_lastRequest }, LegNumber(0), AttemptNumber(0) };
    m_sent[key] = { m_testBed.now(), m_testBed.now() + load.budget, load.priority };
    ++m_outstanding[server].at(static_cast<std::size_t>(load.priority));
    ++m_figures.at(static_cast<std::size_t>(load.priority)).sent;
    const auto relay = m_relays.empty() ? m_testBed.ownerOf(server) : m_relays[m_testBed.random().below(m_relays.size())];
    m_testBed.send(relay, server, m_lastRequest, load.priority, load.budget, m_lastRequest);
}

void RelayLoad::onResult(const LegResult& result)
{
    const auto it = m_sent.find(result.key);
    if (it == m_sent.end())
        return;
    const auto sent = it->second;
    m_sent.erase(it);
    const auto server = result.state.server.value();
    --m_outstanding[server].at(static_cast<std::size_t>(sent.priority));
    if (!result.state.server.value().empty())
        m_states[server] = result.state;
    if (result.outcome != LegOutcome::Ok)
        return;
    auto& figures = m_figures.at(static_cast<std::size_t>(sent.priority));
    figures.inTime += m_testBed.now() <= sent.deadline ? 1 : 0;
    figures.millis.push_back(static_cast<double>((m_testBed.now() - sent.at).count()) / 1000);
}

}
