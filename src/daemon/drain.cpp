#include "daemon/drain.h"

#include "observe/log.h"

namespace lycheefield {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(50);
/// Consecutive checks without anything in flight before the drain ends: a message may be in transit during one check.
constexpr unsigned int requiredIdleChecks = 4;

}

Drain::Drain(const boost::asio::any_io_executor& executor, std::shared_ptr<const Clock> clock, const DrainSettings& settings, DrainParts parts)
    : m_strand(executor)
    , m_timer(m_strand)
    , m_clock(std::move(clock))
    , m_settings(settings)
    , m_parts(std::move(parts))
{
}

void Drain::start()
{
    m_started = m_clock->now();
    check();
}

void Drain::check()
{
    const auto elapsed = m_clock->now() - m_started;
    if (elapsed >= m_settings.balancerLag) {
        m_parts.closeIdle();
        m_idleChecks = m_parts.inFlight() == 0 ? m_idleChecks + 1 : 0;
    }
    if (m_idleChecks >= requiredIdleChecks || elapsed >= m_settings.limit) {
        finish();
        return;
    }
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->check();
    });
}

void Drain::finish()
{
    const auto n = m_parts.inFlight();
    if (n > 0)
        logChange(LogLevel::Warning, "drain limit reached; stopping with requests and legs in flight", { { "requests_and_legs", std::to_string(n) } });
    m_parts.stopLegs();
    logChange(LogLevel::Info, "drain finished; the process stops");
    m_parts.stop();
}

}
