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

/// State shared by the sessions of a server.
struct HttpServerContext {
    HttpHandler& handler;
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<HttpServerCounters> counters;
    std::shared_ptr<Snapshot<HttpLimits>> limits; ///< Read at the start of each message.
    std::shared_ptr<std::atomic<bool>> draining;
    /// Runs once with the session's id when the session ends.
    std::function<void(std::uint64_t)> onEnd;
    std::shared_ptr<std::atomic<std::uint64_t>> bufferedBytes = std::make_shared<std::atomic<std::uint64_t>>(0); ///< Of all sessions.
};

/// Connection of a caller. Unless the buffer is full, a read is always pending, so that the session detects
/// a caller that disconnects while its request is handled. Pipelined bytes wait in the buffer.
///
/// Private to the package: only http_server.cpp and tests include this header.
class HttpServerSession : public std::enable_shared_from_this<HttpServerSession> {
public:
    /// Precondition: the socket's executor is a strand.
    HttpServerSession(std::uint64_t id, boost::asio::ip::tcp::socket, HttpServerContext);

    void start();
    void close();
    /// Closes the connection unless a request is being read or handled.
    void closeIfIdle();
    /// Whether a response has not yet been handed to the system as a whole. Thread safe.
    bool isSending() const { return m_isSending; }
    /// Sends the response to the request of that number; ignored unless that request is the current one.
    void respond(std::uint64_t requestNumber, HttpResponse);
    void setDisconnectHandler(std::uint64_t requestNumber, std::function<void()>);

private:
    /// Prepares to read the next message, under the current limits.
    void startMessage();
    void readMore();
    void onRead(const boost::system::error_code&, std::size_t);
    void parseMore();
    void refuse();
    /// Answers a request whose bytes exceed what all connections together may buffer.
    void refuseForMemory();
    /// Sets the number of received bytes of this session that wait for their answer.
    void setBuffered(std::uint64_t);
    /// Whether all connections together buffer too much. A connection may always buffer as much as a header may have.
    bool isOverMemoryLimit() const;
    void dispatch();
    /// Returns the time on the network of the request that was just read and its response. Precondition: the request
    /// has its number.
    Duration networkTime();
    void continueIfExpected();
    void sendResponse(const HttpResponse&, bool keepAlive);
    /// Counts the response that is being written among the buffers of all connections, which may end this one for it.
    void chargeOutgoing();
    /// Frees the response that has been written.
    void releaseOutgoing();
    void onWritten(const boost::system::error_code&, bool keepAlive);
    void reportDisconnect();
    /// Shuts down sending, and discards received bytes until the caller disconnects or lingerTimeout passes.
    void linger();
    void scheduleTimeoutCheck();
    bool isOverdue(TimePoint) const;
    void finish();

    std::uint64_t m_id;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_callerAddress; ///< Empty when unknown.
    HttpServerContext m_context;
    boost::asio::steady_timer m_timeoutTimer;
    std::array<char, 4 * 1024> m_chunk {}; ///< Destination of the pending read.
    std::shared_ptr<const HttpLimits> m_limits; ///< Limits of the message that is being read.
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpRequestReader> m_reader;
    std::function<void()> m_disconnectHandler;
    std::string m_outgoing;
    std::optional<BufferCharge> m_charge; ///< For m_outgoing while it is being written.
    std::uint64_t m_buffered = 0; ///< See setBuffered().
    std::uint64_t m_requestNumber = 0;
    TimePoint m_messageStarted = never; ///< `never` unless a request has arrived in part.
    TimePoint m_writeStarted = never;
    TimePoint m_idleSince = never;
    TimePoint m_lingerStarted = never; ///< `never` until linger() is called.
    std::atomic<bool> m_isSending = false;
    bool m_handling = false; ///< A request waits for its response, or the response is being written.
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_closed = false;
};

}
