#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// Receives what becomes of the ports. Called on the executor of the PortOpener.
class PortEvents {
public:
    virtual ~PortEvents() = default;
    /// The port can't be opened now and is tried again; reported at first and once a minute.
    virtual void onPortUnavailable(const std::string& name, const Error&) = 0;
    /// A port is open that was not at the first try.
    virtual void onPortOpened(const std::string& name) = 0;
};

/// Opens the listening ports of a process. A port that is in use, as by the previous process of the same instance during its
/// planned stop, is tried again until it is free. Not thread safe: called on the executor.
class PortOpener {
public:
    using Listen = std::function<Result<Endpoint>()>;

    /// Preconditions: the executor is a strand; the events outlive its run.
    PortOpener(const boost::asio::any_io_executor&, const Clock&, PortEvents&);

    /// Opens the port, now or later, and returns the endpoint, with the chosen port if it is open. Returns an error when the port
    /// can't be opened later either.
    Result<Endpoint> openRequired(const std::string& name, const Endpoint&, const Listen&);
    /// Opens a port without which the process is of use, now or later.
    void openOptional(const std::string& name, const Listen&);
    /// Returns whether all required ports are open.
    bool areRequiredOpen() const;
    /// Gives up the ports that are not open yet.
    void cancel();

private:
    struct ClosedPort {
        std::string name;
        bool isRequired = false;
        Listen listen;
        TimePoint reportAt {};
    };

    void addClosed(ClosedPort, const Error&);
    void tryLater();
    void tryAgain();
    void report(ClosedPort&, const Error&);

    const Clock& m_clock;
    PortEvents& m_events;
    boost::asio::steady_timer m_timer;
    std::vector<ClosedPort> m_closed;
};

}
