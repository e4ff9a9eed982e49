#pragma once

#include "base/clock.h"
#include "base/snapshot.h"
#include "http/http_limits.h"
#include "http/http_message.h"
#include "http/http_request_reader.h"
#include "http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lycheefield {

/// What the sessions of one server share.
struct HttpServerContext {
    HttpHandler& handler;
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<HttpServerCounters> counters;
    std::shared_ptr<Snapshot<HttpLimits>> limits; ///< Read anew for each message.
    std::shared_ptr<std::atomic<bool>> draining;
    /// Runs once when a session ends.
    std::function<void(std::uint64_t)> onEnd;
};

/// One connection of a caller. One read is always under way, so that a caller who closes is
/// noticed while its request is handled; what is pipelined waits in the buffer.
///
/// Private to the package: only http_server.cpp and tests include this header.
class HttpServerSession : public std::enable_shared_from_this<HttpServerSession> {
public:
    /// Precondition: the socket's executor is a strand.
    HttpServerSession(std::uint64_t id, boost::asio::ip::tcp::socket, HttpServerContext);

    void start();
    void close();
    /// Closes the connection if no request is under way.
    void closeIfIdle();
    /// Sends the reply to the request of that number; ignored when it was answered before.
    void respond(std::uint64_t requestNumber, HttpResponse);
    void setGoneHandler(std::uint64_t requestNumber, std::function<void()>);

private:
    /// Makes ready for the next message, within the limits in force now.
    void startMessage();
    void readMore();
    void onRead(const boost::system::error_code&, std::size_t);
    void parseMore();
    void refuse();
    void dispatch();
    void continueIfExpected();
    void sendReply(const HttpResponse&, bool keepAlive);
    void onWritten(const boost::system::error_code&, bool keepAlive);
    void noticeGone();
    /// Sends no more, and reads and drops what still comes until the caller closes.
    void linger();
    void watch();
    bool isOverdue(TimePoint) const;
    void finish();

    std::uint64_t m_id;
    boost::asio::ip::tcp::socket m_socket;
    HttpServerContext m_context;
    boost::asio::steady_timer m_watchdog;
    std::array<char, 4 * 1024> m_chunk {}; ///< Where the read under way puts its bytes.
    std::shared_ptr<const HttpLimits> m_limits; ///< Of the message being read.
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpRequestReader> m_reader;
    std::function<void()> m_goneHandler;
    std::string m_out;
    std::uint64_t m_requestNumber = 0;
    TimePoint m_messageStarted = never; ///< `never` while no message is incomplete.
    TimePoint m_writeStarted = never;
    TimePoint m_idleSince = never;
    TimePoint m_lingerSince = never; ///< `never` while the connection serves.
    bool m_handling = false; ///< A request waits for its reply, or the reply is being written.
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_closed = false;
};

}
