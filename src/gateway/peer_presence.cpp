#include "gateway/peer_presence.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <tuple>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Between two probes of an instance; either or the answer may be lost.
constexpr Duration probePeriod = 500ms;
/// The same, of an instance that is presumed gone.
constexpr Duration gonePeriod = 10s;
/// Each opens a connection.
constexpr std::size_t probedTogether = 64;
constexpr Duration pauseBetweenGroups = 250ms;

}

bool PeerPresence::setInstances(const std::vector<Instance>& instances, const std::set<InstanceName>& unverified, TimePoint now)
{
    std::set<InstanceName> listed;
    std::vector<const Instance*> order;
    for (const auto& it : instances) {
        listed.insert(it.name);
        if (it.name != m_self && unverified.contains(it.name) && !m_heard.contains(it.name))
            order.push_back(&it);
    }
    std::erase_if(m_heard, [&](const auto& it) { return !listed.contains(it); });
    std::map<InstanceName, Unverified> current;
    for (const auto* it : order) {
        const auto known = m_unverified.find(it->name);
        const auto added = m_hasBegun ? Unverified { never, now } : Unverified {};
        current.emplace(it->name, known == m_unverified.end() ? added : known->second);
    }
    m_unverified = std::move(current);
    if (m_probesAll) {
        probeAll(now);
    } else if (!std::exchange(m_hasBegun, true)) {
        const auto keyOf = [](const Instance* it) { return std::tuple(-it->cores, stableHash(it->name.value())); };
        std::sort(order.begin(), order.end(), [&](const auto* a, const auto* b) { return keyOf(a) < keyOf(b); });
        order.resize(std::min(order.size(), probedFirst));
        for (const auto* it : order)
            m_unverified.at(it->name).nextProbeAt = now;
    }
    return std::erase_if(m_gone, [&](const auto& it) { return !m_unverified.contains(it); }) > 0;
}

void PeerPresence::probeAll(TimePoint now)
{
    m_probesAll = true;
    std::size_t n = 0;
    for (auto& [name, it] : m_unverified) {
        if (it.nextProbeAt == never)
            it.nextProbeAt = now + n++ / probedTogether * pauseBetweenGroups;
    }
}

bool PeerPresence::onMessage(const InstanceName& from)
{
    if (!m_heard.insert(from).second)
        return false;
    m_unverified.erase(from);
    return m_gone.erase(from) > 0;
}

bool PeerPresence::onTimer(TimePoint now)
{
    bool hasChanged = false;
    for (const auto& [name, it] : m_unverified) {
        if (it.probedAt != never && now >= it.probedAt + answerTime)
            hasChanged = m_gone.insert(name).second || hasChanged;
    }
    if (hasChanged && !m_probesAll)
        probeAll(now);
    return hasChanged;
}

std::vector<InstanceName> PeerPresence::takeProbes(TimePoint now)
{
    std::vector<InstanceName> due;
    for (auto& [name, it] : m_unverified) {
        if (now < it.nextProbeAt)
            continue;
        it.probedAt = std::min(it.probedAt, now);
        it.nextProbeAt = now + (m_gone.contains(name) ? gonePeriod : probePeriod);
        due.push_back(name);
    }
    return due;
}

TimePoint PeerPresence::nextWake() const
{
    auto wake = never;
    for (const auto& [name, it] : m_unverified) {
        wake = std::min(wake, it.nextProbeAt);
        if (it.probedAt != never && !m_gone.contains(name))
            wake = std::min(wake, it.probedAt + answerTime);
    }
    return wake;
}

}
