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

/// Puts one BackendServer behind HTTP on a port of its own (docs/INTERFACES.md, "Backend servers").
///
/// Everything runs on the one thread that runs the io_context. Create it by std::make_shared.
class BackendListener : public std::enable_shared_from_this<BackendListener> {
public:
    struct Limits {
        std::uint32_t connectionCap = 25;
        Duration connectCost { 6000 }; ///< From accepting a connection until its first request is read.
    };

    /// Handles a request to a path of the stand-in itself; gives back a JSON body.
    using ControlHandler = std::function<std::string(const std::string& target)>;

    BackendListener(boost::asio::io_context&, std::shared_ptr<BackendServer>, Limits, const Clock&);

    /// Listens on a port that the kernel chooses.
    void listen(const std::string& address);
    std::uint16_t port() const;
    void setControlHandler(ControlHandler handler) { m_control = std::move(handler); }

    BackendServer& server() { return *m_server; }
    TimePoint now() const { return m_clock.now(); }
    const ControlHandler& control() const { return m_control; }
    std::uint32_t mostConnections() const { return m_mostConnections; }
    std::uint64_t refusedConnections() const { return m_refusedConnections; }

    /// Hands on replies, closes sessions after a crash and sets the timer again.
    void settle(std::vector<BackendResponse>&);
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
    std::uint32_t m_mostConnections = 0;
    std::uint64_t m_refusedConnections = 0;
};

}
