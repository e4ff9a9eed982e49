#pragma once

#include "base/clock.h"
#include "settings/daemon_settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace lycheefield {

/// What a draining instance acts on.
struct DrainParts {
    std::function<std::size_t()> inFlight; ///< Requests and legs that are not finished.
    std::function<void()> closeIdle; ///< Callers' connections close after their next reply.
    /// No new legs of other instances are taken. Not before the end: instances that leave at the same
    /// time need each other for what they have in flight.
    std::function<void()> stopLegs;
    std::function<void()> stop; ///< Ends the process's loop.
};

/// Leaves without cutting anything off: goes on serving while the balancer lags, then waits until
/// nothing is in flight, then stops. Only the stated limit ends what is left, and it is logged.
class Drain : public std::enable_shared_from_this<Drain> {
public:
    Drain(const boost::asio::any_io_executor&, std::shared_ptr<const Clock>, const DrainSettings&, DrainParts);

    void start();

private:
    void check();
    void finish();

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const Clock> m_clock;
    DrainSettings m_settings;
    DrainParts m_parts;
    TimePoint m_started = never;
    unsigned int m_idleChecks = 0;
};

}
