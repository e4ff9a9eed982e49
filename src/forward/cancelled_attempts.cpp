#include "forward/cancelled_attempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheefield {

void CancelledAttempts::add(TrackedServerPtr server, Fingerprint content, const CrashedAttempt& crash, TimePoint now)
{
    if (m_attempts.size() >= maxAttempts)
        m_attempts.pop_front();
    m_attempts.push_back({ std::move(server), content, crash, now + checkDelay });
}

TimePoint CancelledAttempts::nextCheck() const
{
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(), [](const auto& attempt) { return !attempt.isCheckDue; });
    return it == m_attempts.end() ? never : it->checkAt;
}

std::vector<TrackedServerPtr> CancelledAttempts::takeDueChecks(TimePoint now)
{
    std::vector<TrackedServerPtr> servers;
    for (auto& it : m_attempts) {
        if (it.checkAt > now)
            break;
        if (!std::exchange(it.isCheckDue, true) && std::find(servers.begin(), servers.end(), it.server) == servers.end())
            servers.push_back(it.server);
    }
    return servers;
}

void CancelledAttempts::forgetChecked(const ServerName& server)
{
    std::erase_if(m_attempts, [&](const auto& it) { return it.isCheckDue && it.server->entry.name == server; });
}

std::vector<CancelledAttempt> CancelledAttempts::take(const ServerName& server)
{
    const auto isOther = [&](const auto& it) { return it.server->entry.name != server; };
    const auto begin = std::stable_partition(m_attempts.begin(), m_attempts.end(), isOther);
    std::vector<CancelledAttempt> taken(std::make_move_iterator(begin), std::make_move_iterator(m_attempts.end()));
    m_attempts.erase(begin, m_attempts.end());
    return taken;
}

}
