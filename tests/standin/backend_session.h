#pragma once

#include "standin/backend_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace lycheefield::standin {

/// One connection to a stand-in server. The session keeps itself alive while its socket is open.
class BackendSession : public std::enable_shared_from_this<BackendSession> {
public:
    BackendSession(boost::asio::ip::tcp::socket, std::shared_ptr<BackendListener>, std::uint64_t connection);

    void start(Duration connectCost);
    void send(const BackendResponse&);
    /// Closes the connection with a TCP reset, as a crashed server does.
    void abort();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void read();
    void onRequest(const Request&);
    void onRun(const Request&);
    void onCancel(const Request&);
    void enqueue(Response);
    void write();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<BackendListener> m_listener;
    std::uint64_t m_connection;
    boost::beast::flat_buffer m_buffer;
    Request m_request;
    std::deque<Response> m_responses;
    bool m_keepAlive = true;
};

}
