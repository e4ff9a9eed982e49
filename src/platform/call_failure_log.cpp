#include "platform/call_failure_log.h"

#include "base/quantity_text.h"

#include <utility>

namespace lycheefield {

CallFailureLog::CallFailureLog(std::string objects)
    : m_objects(std::move(objects))
{
}

void CallFailureLog::onFailure(const std::string& why, TimePoint sentAt, TimePoint now, WatchActions& actions)
{
    if (m_failures++ == 0)
        m_failingSince = sentAt;
    else if (why == m_lastReason)
        return;
    m_lastReason = why;
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "call to the store failed; repeated after a pause",
        { { "objects", m_objects }, { "why", why }, { "took_ms", formatMilliseconds(now - sentAt) }, { "failures", std::to_string(m_failures) } } });
}

void CallFailureLog::onSuccess(TimePoint now, WatchActions& actions)
{
    const auto failures = std::exchange(m_failures, 0);
    if (failures == 0)
        return;
    actions.emplace_back(LogWatchChange { LogLevel::Info, "calls to the store succeed again",
        { { "objects", m_objects }, { "failures", std::to_string(failures) }, { "after_ms", formatMilliseconds(now - m_failingSince) } } });
}

}
