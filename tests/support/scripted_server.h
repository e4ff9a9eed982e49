#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace lycheefield {

/// The bytes that a ScriptedServer sends once it has read the head of a request.
struct ServerScript {
    std::string response;
    std::string filler {}; ///< Sent again and again after the response until the peer closes the connection; empty: nothing more is sent.
    bool closes = false; ///< Closes the connection after the response.
};

/// A stand-in for a faulty server: accepts connections and answers each request with the same bytes, whether or not they are
/// a response in the protocol. Everything runs on the thread that runs the io_context.
class ScriptedServer {
public:
    ScriptedServer(boost::asio::io_context&, ServerScript);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Endpoint endpoint() const;
    std::size_t connections() const;
    /// The number of requests whose head has been read.
    std::size_t requests() const;
    /// The connections that the peer has closed.
    std::size_t closedByPeer() const;
    std::size_t bytesSent() const;

private:
    struct Shared;
    class Session;

    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<Shared> m_shared;
};

}
