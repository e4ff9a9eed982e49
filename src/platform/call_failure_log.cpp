#include "platform/call_failure_log.h"

#include "base/quantity_text.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Reasons of one series that are logged. A store may give another one with each response.
constexpr std::size_t maxReasons = 8;

}

CallFailureLog::CallFailureLog(std::string objects)
    : m_objects(std::move(objects))
{
}

void CallFailureLog::onFailure(const std::string& why, TimePoint sentAt, TimePoint now, WatchActions& actions)
{
    if (m_failures++ == 0)
        m_failingSince = sentAt;
    const bool isKnown = std::find(m_reasons.begin(), m_reasons.end(), why) != m_reasons.end();
    if (isKnown || m_reasons.size() >= maxReasons)
        return;
    m_reasons.push_back(why);
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "call to the store failed; repeated after a pause",
        { { "objects", m_objects }, { "why", why }, { "took_ms", formatMilliseconds(now - sentAt) }, { "failures", std::to_string(m_failures) } } });
}

void CallFailureLog::onSuccess(TimePoint now, WatchActions& actions)
{
    m_reasons.clear();
    const auto failures = std::exchange(m_failures, 0);
    if (failures == 0)
        return;
    actions.emplace_back(LogWatchChange { LogLevel::Info, "calls to the store succeed again",
        { { "objects", m_objects }, { "failures", std::to_string(failures) }, { "after_ms", formatMilliseconds(now - m_failingSince) } } });
}

}
