#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "settings/settings.h"

#include <memory>
#include <string>

namespace lycheefield {

/// One instance with all its roles, threads and connections.
class Daemon {
public:
    explicit Daemon(const Settings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens the listening sockets and starts the roles. Afterwards the ports are known.
    Result<void> start();
    /// Writes the ports as INI: http = N, inner = N. Precondition: start() succeeded.
    Result<void> writePorts(const std::string& path) const;
    /// Returns the address at which callers reach this instance. Precondition: start() succeeded.
    Endpoint httpEndpoint() const;
    /// Serves until SIGTERM or SIGINT, then drains. Returns the exit code. Precondition: start() succeeded.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
