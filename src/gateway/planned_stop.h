#pragma once

#include "base/clock.h"
#include "gateway/forward_driver.h"
#include "http/http_server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace lycheefield {

/// The times of a planned stop.
struct StopTimes {
    Duration limit {}; ///< From the begin of the stop until the process has ended, at most.
    Duration balancerLag {}; ///< The balancer still sends callers for so long.

    friend bool operator==(const StopTimes&, const StopTimes&) = default;
};

/// Ends a gateway's service: it serves on for the balancer's lag, then accepts no callers, and stops once no request is in flight or the limit is near.
/// Not thread safe: called on the executor.
class PlannedStop {
public:
    /// onStopped runs at the end, and once more for each check until the executor stops. Preconditions: the executor is a strand; the clock, the driver
    /// and the server outlive the object.
    PlannedStop(const boost::asio::any_io_executor&, const Clock&, ForwardDriver&, HttpServer& callers, const StopTimes&, std::function<void()> onStopped);

    /// Begins the stop. Precondition: called at most once.
    void begin();
    bool isBegun() const { return m_isBegun; }

private:
    void check();
    /// Closes idle connections and accepts no new ones. Requests read by then are still answered.
    void stopAcceptingCallers();

    const Clock& m_clock;
    ForwardDriver& m_driver;
    HttpServer& m_callers;
    StopTimes m_times;
    std::function<void()> m_onStopped;
    boost::asio::steady_timer m_timer;
    bool m_isBegun = false;
    bool m_isClosing = false; ///< New connections are not accepted any more.
    TimePoint m_begunAt {};
    TimePoint m_idleSince = never; ///< Start of the current time without requests in flight; `never` while one is in flight.
};

}
