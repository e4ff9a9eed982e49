#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <sys/types.h>

#include <optional>
#include <string>

namespace lycheefield::soak {

/// One real gateway program, started and signalled from outside. Only its own child is ever signalled.
class GatewayProcess {
public:
    /// The folder gets its settings file and its log.
    GatewayProcess(std::string program, std::string folder, std::string name, std::string zone, Endpoint store);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void start();
    /// Does nothing when it does not run.
    void signal(int number);
    /// How it ended, once after each end; empty while it runs.
    std::optional<int> takeEnd();
    bool isRunning() const { return m_pid > 0; }

    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }
    const Endpoint& callers() const { return m_callers; }
    const Endpoint& readiness() const { return m_readiness; }

private:
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    Endpoint m_store;
    boost::asio::io_context m_io;
    /// Bound and never listening, so that nobody else gets the ports while the program is down.
    boost::asio::ip::tcp::acceptor m_heldForCallers;
    boost::asio::ip::tcp::acceptor m_heldForReadiness;
    Endpoint m_callers;
    Endpoint m_readiness;
    pid_t m_pid = 0;
};

}
