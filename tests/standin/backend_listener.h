#pragma once

#include "base/clock.h"
#include "standin/backend_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lycheefield::standin {

class BackendSession;

/// Serves one BackendServer over HTTP on its own port (docs/INTERFACES.md, "Backend servers").
///
/// Everything runs on the one thread that runs the io_context. Create with std::make_shared.
class BackendListener : public std::enable_shared_from_this<BackendListener> {
public:
    struct Limits {
        std::uint32_t connectionCap = 25;
        Duration connectCost { 6000 }; ///< Delay between accepting a connection and reading its first request.
    };

    /// Handles a request to a control path of the stand-in and returns a JSON body.
    using ControlHandler = std::function<std::string(const std::string& target)>;

    BackendListener(boost::asio::io_context&, std::shared_ptr<BackendServer>, Limits, const Clock&);

    /// Listens on a port that the kernel chooses.
    void listen(const std::string& address);
    std::uint16_t port() const;
    void setControlHandler(ControlHandler handler) { m_control = std::move(handler); }

    BackendServer& server() { return *m_server; }
    TimePoint now() const { return m_clock.now(); }
    const ControlHandler& control() const { return m_control; }
    std::uint32_t peakConnections() const { return m_peakConnections; }
    std::uint64_t refusedConnections() const { return m_refusedConnections; }

    /// Sends the responses to their sessions, aborts all sessions after a crash and re-arms the timer.
    void deliver(std::vector<BackendResponse>&);
    void remove(std::uint64_t connection);

private:
    void accept();
    void onAccepted(boost::asio::ip::tcp::socket);
    void armTimer();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<BackendServer> m_server;
    Limits m_limits;
    const Clock& m_clock;
    ControlHandler m_control;
    std::map<std::uint64_t, std::weak_ptr<BackendSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    std::uint32_t m_peakConnections = 0;
    std::uint64_t m_refusedConnections = 0;
};

}
