#include "admission/keeper_backoff.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration initialBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t maxDoublings = 4;
constexpr Duration pauseAfterNotSent = std::chrono::milliseconds(50);

}

bool KeeperBackoff::mayAsk(const InstanceName& name, TimePoint now) const
{
    const auto it = m_failures.find(name);
    return it == m_failures.end() || now >= it->second.avoidUntil;
}

bool KeeperBackoff::hasAnswered(const InstanceName& name) const
{
    const auto it = m_failures.find(name);
    return it != m_failures.end() && it->second.count == 0;
}

void KeeperBackoff::recordFailure(const InstanceName& name, TimePoint now)
{
    auto& failures = m_failures[name];
    failures.avoidUntil = now + initialBackoff * (1 << std::min(failures.count, maxDoublings));
    ++failures.count;
}

void KeeperBackoff::recordNotSent(const InstanceName& name, TimePoint now)
{
    auto& failures = m_failures[name];
    failures.avoidUntil = std::max(failures.avoidUntil, now + pauseAfterNotSent);
    // The next call needs a new connection, so its answer isn't expected as soon as after an answer.
    failures.count = std::max(failures.count, 1U);
}

void KeeperBackoff::keepOnly(const std::set<InstanceName>& names)
{
    std::erase_if(m_failures, [&](const auto& it) { return !names.contains(it.first); });
}

}
