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

/// Callbacks of a drain to the other parts of the instance.
struct DrainParts {
    std::function<std::size_t()> inFlight; ///< Returns the number of requests and legs that are not finished.
    std::function<void()> closeIdle; ///< Closes idle connections of callers, and the others after their next response.
    /// Refuses new legs of other instances. Called only at the end, because instances that drain at the same time
    /// need each other for the requests that they have in flight.
    std::function<void()> stopLegs;
    std::function<void()> stop; ///< Ends the process's event loop.
};

/// Drains an instance without interrupting requests. During DrainSettings::balancerLag the instance still serves
/// the new requests that the balancer sends. Then the drain closes idle connections, waits until nothing is in
/// flight, and stops the process. At DrainSettings::limit, counted from the start, the drain logs the number of
/// requests and legs in flight and stops the process all the same.
class Drain : public std::enable_shared_from_this<Drain> {
public:
    Drain(const boost::asio::any_io_executor&, std::shared_ptr<const Clock>, const DrainSettings&, DrainParts);

    /// Precondition: called once. The first check runs on the calling thread, the later ones on a strand.
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
