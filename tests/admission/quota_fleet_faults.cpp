#include "quota_fleet.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration maxCopyAge = 9s;
constexpr double listFailureProbability = 0.4;
constexpr double lateMessageProbability = 0.1;
constexpr Duration configurationTime = 5s;
constexpr double lossProbability = 0.2;
constexpr Duration maxWriteDelay = 6s;

}

std::size_t QuotaFleet::keeperOf(std::size_t team) const
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& node) { return node.engine && node.engine->grants({ m_teams[team].quota.name, QuotaRole::Keeper }, m_now); });
    return static_cast<std::size_t>(it == m_nodes.end() ? 0 : it - m_nodes.begin());
}

void QuotaFleet::inject(QuotaFault fault, TimePoint time)
{
    switch (fault) {
    case QuotaFault::None:
    case QuotaFault::Several:
        return;
    case QuotaFault::Losses:
        return at(time, [this] { m_lossProbability = lossProbability; });
    case QuotaFault::Cut:
        return cut(time);
    case QuotaFault::Pause:
        return pause(time);
    case QuotaFault::Restart:
        for (std::size_t i = 0; i < m_nodes.size() / 4; ++i)
            at(time + i * 400ms, [this, i] { restart(i % 2 == 0 ? keeperOf(0) : m_random.below(m_nodes.size()), i % 2 == 0 ? randomDuration(20ms, 300ms) : randomDuration(200ms, 3s)); });
        return;
    case QuotaFault::KeeperDies:
        return at(time, [this] {
            const auto node = keeperOf(0);
            end(node);
            m_nodes[node].isGone = true;
            at(m_now + randomDuration(1s, 6s), [this, node] { m_store.remove(node, m_now); });
        });
    case QuotaFault::InstancesAdded:
        return at(time, [this] { add(m_nodes.size() / 3); });
    case QuotaFault::PowerLost:
        return at(time, [this] {
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                restart(i, randomDuration(200ms, 3s));
        });
    case QuotaFault::QuotaLowered:
        return lower(time);
    case QuotaFault::ListsLate:
        at(time, [this] { m_listFailures = listFailureProbability; });
        return at(time + randomDuration(0s, 3s), [this] { add(1 + m_random.below(3)); });
    case QuotaFault::AddedRestart:
        return at(time, [this] { addAndRestart(); });
    case QuotaFault::StoreRestored:
        at(time, [this] { add(1 + m_random.below(3)); });
        return restoreStore(time + randomDuration(0s, maxCopyAge));
    case QuotaFault::WritesLate:
        at(time, [this] { m_writeDelay = maxWriteDelay; });
        return at(time + randomDuration(0s, 3s), [this] { addAndRestart(); });
    case QuotaFault::MessagesLate:
        at(time, [this] { m_lateMessages = lateMessageProbability; });
        return at(time + randomDuration(0s, 3s), [this] { add(1 + m_random.below(3)); });
    case QuotaFault::PlannedStops:
        return at(time, [this] { stopInTurn(); });
    case QuotaFault::PartStarts:
        return startInPart(time);
    }
}

void QuotaFleet::addAndRestart()
{
    const auto first = m_nodes.size();
    add(1 + m_random.below(3));
    for (auto i = first; i < m_nodes.size(); ++i) {
        auto time = m_now;
        for (auto restarts = 1 + m_random.below(3); restarts > 0; --restarts) {
            time += randomDuration(20ms, 3s);
            at(time, [this, i] { restart(i, randomDuration(20ms, 1s)); });
            time += 1s;
        }
    }
}

void QuotaFleet::restoreStore(TimePoint time)
{
    at(time, [this] { m_store.restore(m_now - randomDuration(0s, maxCopyAge), m_now); });
}

void QuotaFleet::stopInTurn()
{
    for (std::size_t i = 0; i < 1 + m_nodes.size() / 8; ++i) {
        at(m_now + i * 1500ms, [this, i] {
            const auto node = i == 0 ? keeperOf(0) : m_random.below(m_nodes.size());
            if (!m_nodes[node].engine)
                return;
            atNode(node, m_now, [this, node] { call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.resign(m_now, actions); }); });
            const bool isGone = chance(0.3);
            atNode(node, m_now + randomDuration(1s, 4s), [this, node, isGone] {
                if (isGone)
                    endPlanned(node);
                else
                    restart(node, randomDuration(100ms, 2s));
            });
        });
    }
}

void QuotaFleet::startInPart(TimePoint time)
{
    at(time, [this] {
        const auto goneShare = 0.7 * m_random.unit();
        const auto silentShare = 0.2 * m_random.unit() * m_random.unit();
        std::map<std::size_t, std::size_t> keepers;
        for (std::size_t i = 0; i < m_teams.size(); ++i)
            keepers[i] = keeperOf(i);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].engine)
                continue;
            const bool isSilent = chance(silentShare);
            m_nodes[i].isGone = !isSilent && i > 0 && chance(goneShare);
            m_nodes[i].isCut = isSilent;
            for (std::size_t team = 0; team < m_teams.size(); ++team) {
                if (keepers[team] == i && (isSilent || m_nodes[i].isGone))
                    m_lostKeepers.insert(team);
            }
            if (m_nodes[i].isGone)
                end(i);
            else if (!isSilent)
                restart(i, randomDuration(200ms, 800ms));
        }
        for (auto remains = m_random.below(40); remains > 0; --remains) {
            m_nodes.emplace_back(InstanceName("n" + std::to_string(m_nodes.size())), 0);
            m_nodes.back().isGone = true;
            m_store.write(m_nodes.size() - 1, 0, {}, m_now);
        }
        m_servedFrom = m_now + 5s;
    });
}

void QuotaFleet::endPlanned(std::size_t node)
{
    auto& it = m_nodes[node];
    call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.end(m_now, actions); });
    // A process may be killed before it has recorded its end.
    if (chance(0.7))
        m_store.write(node, it.version, { it.life, ++it.refreshes, it.engine->declaration(), 0 }, m_now);
    end(node);
    it.isGone = true;
}

void QuotaFleet::cut(TimePoint time)
{
    at(time, [this] {
        const auto part = m_random.unit() / 2;
        for (auto& it : m_nodes)
            it.isCut = chance(part);
        m_nodes[keeperOf(0)].isCut = chance(0.5);
    });
    at(time + randomDuration(2s, 8s), [this] {
        for (auto& it : m_nodes)
            it.isCut = false;
    });
}

void QuotaFleet::pause(TimePoint time)
{
    at(time, [this] {
        const auto count = 1 + m_random.below(m_nodes.size() / 4);
        for (std::size_t i = 0; i < count; ++i) {
            const auto node = i == 0 ? keeperOf(m_random.below(m_teams.size())) : m_random.below(m_nodes.size());
            const bool isGivenUp = chance(0.3);
            const auto length = isGivenUp ? 14s + randomDuration(0s, 10s) : randomDuration(100ms, 6s);
            m_nodes[node].pausedUntil = m_now + length;
            if (isGivenUp)
                m_store.remove(node, m_now);
            // Its list is overdue, and it takes it as soon as it goes on.
            atNode(node, m_now + length, [this, node] { list(node, false, false); });
        }
    });
}

void QuotaFleet::restart(std::size_t node, Duration down)
{
    if (!m_nodes[node].engine)
        return;
    end(node);
    at(m_now + down, [this, node] {
        if (!m_nodes[node].engine && !m_nodes[node].isGone)
            start(node);
    });
}

void QuotaFleet::lower(TimePoint time)
{
    m_loweredAt = time;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        at(time + randomDuration(0s, configurationTime), [this, i] {
            atNode(i, m_now, [this, i] {
                m_nodes[i].isLowered = true;
                m_lowAppliedAt = m_now;
                call(i, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setTeams(quotas(true), m_now, actions); });
            });
        });
    }
}

}
