#include "gateway/planned_stop.h"

#include <chrono>
#include <utility>

namespace lycheefield {

namespace {

/// Requests still in flight this long before the limit are answered with the parts received so far.
constexpr Duration finishBeforeLimit = std::chrono::milliseconds(1000);
/// What is left for the end of the process after the check that finds the limit near.
constexpr Duration stopBeforeLimit = std::chrono::milliseconds(600);
/// The time for the last answers to reach their callers.
constexpr Duration answerFlushTime = std::chrono::milliseconds(200);
constexpr Duration checkPeriod = std::chrono::milliseconds(100);

}

PlannedStop::PlannedStop(const boost::asio::any_io_executor& executor, const Clock& clock, ForwardDriver& driver, HttpServer& callers, const StopTimes& times, std::function<void()> onStopped)
    : m_clock(clock)
    , m_driver(driver)
    , m_callers(callers)
    , m_times(times)
    , m_onStopped(std::move(onStopped))
    , m_timer(executor)
{
}

void PlannedStop::begin()
{
    m_isBegun = true;
    m_begunAt = m_clock.now();
    m_driver.declineDelegations();
    m_driver.setEnd(m_begunAt + m_times.limit - finishBeforeLimit);
    m_callers.closeAfterResponses();
    check();
}

void PlannedStop::check()
{
    // Scheduled first, so that an exception does not end the checks.
    m_timer.expires_after(checkPeriod);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            check();
    });
    const auto now = m_clock.now();
    const auto since = now - m_begunAt;
    const bool isLast = since >= m_times.limit - finishBeforeLimit;
    if (isLast)
        m_driver.finishAll();
    // Callers that read slowly get their answers as long as there is time.
    if (m_driver.inFlight() > 0 || m_callers.isSending())
        m_idleSince = never;
    else if (m_idleSince == never)
        m_idleSince = now;
    const bool isIdle = m_idleSince != never && now - m_idleSince >= answerFlushTime;
    const bool mustStop = since >= m_times.limit - stopBeforeLimit;
    if (mustStop || (m_isClosing && isIdle))
        return m_onStopped();
    if (!m_isClosing && (isLast || (since >= m_times.balancerLag && isIdle)))
        stopAcceptingCallers();
}

void PlannedStop::stopAcceptingCallers()
{
    m_isClosing = true;
    m_idleSince = never;
    m_callers.stopListening();
    m_callers.beginDrain();
}

}
