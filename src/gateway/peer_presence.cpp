#include "gateway/peer_presence.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <tuple>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// The message or its answer may be lost.
constexpr Duration askPeriod = 500ms;
/// Of an instance that is presumed gone.
constexpr Duration goneAskPeriod = 10s;
/// Each opens a connection.
constexpr std::size_t askedTogether = 64;
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
        current.emplace(it->name, known == m_unverified.end() ? Unverified {} : known->second);
    }
    m_unverified = std::move(current);
    if (m_asksAll) {
        askAll(now);
    } else if (!std::exchange(m_hasBegun, true)) {
        const auto keyOf = [](const Instance* it) { return std::tuple(-it->cores, stableHash(it->name.value())); };
        std::sort(order.begin(), order.end(), [&](const auto* a, const auto* b) { return keyOf(a) < keyOf(b); });
        order.resize(std::min(order.size(), askedFirst));
        for (const auto* it : order)
            m_unverified.at(it->name).nextAskAt = now;
    }
    return std::erase_if(m_gone, [&](const auto& it) { return !m_unverified.contains(it); }) > 0;
}

void PeerPresence::askAll(TimePoint now)
{
    m_asksAll = true;
    std::size_t n = 0;
    for (auto& [name, it] : m_unverified) {
        if (it.nextAskAt == never)
            it.nextAskAt = now + n++ / askedTogether * pauseBetweenGroups;
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
        if (it.askedAt != never && now >= it.askedAt + answerTime)
            hasChanged = m_gone.insert(name).second || hasChanged;
    }
    if (hasChanged && !m_asksAll)
        askAll(now);
    return hasChanged;
}

std::vector<InstanceName> PeerPresence::takeDue(TimePoint now)
{
    std::vector<InstanceName> due;
    for (auto& [name, it] : m_unverified) {
        if (now < it.nextAskAt)
            continue;
        it.askedAt = std::min(it.askedAt, now);
        it.nextAskAt = now + (m_gone.contains(name) ? goneAskPeriod : askPeriod);
        due.push_back(name);
    }
    return due;
}

TimePoint PeerPresence::nextWake() const
{
    auto wake = never;
    for (const auto& [name, it] : m_unverified) {
        wake = std::min(wake, it.nextAskAt);
        if (it.askedAt != never && !m_gone.contains(name))
            wake = std::min(wake, it.askedAt + answerTime);
    }
    return wake;
}

}
