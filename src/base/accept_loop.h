#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// Accepts connections on one listening socket until it is closed. While the process has no descriptor or memory for another
/// connection, the loop pauses between its attempts; connections wait in the kernel's queue meanwhile. Keeps itself alive
/// while the socket is open. Not thread safe but for close().
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop> {
public:
    /// Receives each connection, on a strand of its own.
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    explicit AcceptLoop(boost::asio::io_context&);

    /// Listens as listenOn() does, and passes connections to the handler from then on. Call until it succeeds once.
    Result<Endpoint> listen(const Endpoint&, const std::string& what, Handler);
    void close();

private:
    using HandlerPtr = std::shared_ptr<const Handler>;

    /// The operations own the handler, so that it is released when the socket is closed.
    void accept(const HandlerPtr&);
    void pause(const HandlerPtr&);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pauseTimer;
};

}
