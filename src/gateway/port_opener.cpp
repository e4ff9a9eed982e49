#include "gateway/port_opener.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

constexpr Duration retryPeriod = std::chrono::milliseconds(100);
constexpr Duration reportPeriod = std::chrono::minutes(1);

}

PortOpener::PortOpener(const boost::asio::any_io_executor& executor, const Clock& clock, PortEvents& events)
    : m_clock(clock)
    , m_events(events)
    , m_timer(executor)
{
}

Result<Endpoint> PortOpener::openRequired(const std::string& name, const Endpoint& endpoint, const Listen& listen)
{
    const auto opened = listen();
    if (opened || opened.error().kind != ErrorKind::Unavailable)
        return opened;
    addClosed({ name, true, listen, {} }, opened.error());
    return endpoint;
}

void PortOpener::openOptional(const std::string& name, const Listen& listen)
{
    if (const auto opened = listen(); !opened)
        addClosed({ name, false, listen, {} }, opened.error());
}

void PortOpener::addClosed(ClosedPort port, const Error& error)
{
    report(port, error);
    m_closed.push_back(std::move(port));
    tryLater();
}

bool PortOpener::areRequiredOpen() const
{
    return std::none_of(m_closed.begin(), m_closed.end(), [](const ClosedPort& it) { return it.isRequired; });
}

void PortOpener::cancel()
{
    m_closed.clear();
    m_timer.cancel();
}

void PortOpener::tryLater()
{
    m_timer.expires_after(retryPeriod);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tryAgain();
    });
}

void PortOpener::tryAgain()
{
    for (auto& port : std::exchange(m_closed, {})) {
        const auto opened = port.listen();
        if (opened) {
            m_events.onPortOpened(port.name);
            continue;
        }
        report(port, opened.error());
        m_closed.push_back(std::move(port));
    }
    if (!m_closed.empty())
        tryLater();
}

void PortOpener::report(ClosedPort& port, const Error& error)
{
    const auto now = m_clock.now();
    if (now < port.reportAt)
        return;
    port.reportAt = now + reportPeriod;
    m_events.onPortUnavailable(port.name, error);
}

}
