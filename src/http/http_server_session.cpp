#include "http/http_server_session.h"

#include "http/tcp_round_trip.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

namespace lycheefield {

namespace http = boost::beast::http;

namespace {

/// How long the session reads on after its last response, so that a TCP reset does not discard that response.
constexpr Duration lingerTimeout = std::chrono::seconds(2);
/// The memory for responses that a connection keeps for its next one.
constexpr std::size_t keptOutgoingBytes = 16 * 1024;
constexpr unsigned unavailable = 503;
/// In seconds.
constexpr auto memoryRetryAfter = "1";

/// Keeps the session alive while the handler may still respond to the request.
class SessionExchange final : public HttpExchange {
public:
    SessionExchange(std::shared_ptr<HttpServerSession> session, std::uint64_t number, Duration networkTime, std::string callerAddress)
        : m_session(std::move(session))
        , m_number(number)
        , m_networkTime(networkTime)
        , m_callerAddress(std::move(callerAddress))
    {
    }
    ~SessionExchange() override
    {
        if (!m_responded.exchange(true))
            m_session->respond(m_number, { 500, "text/plain", "no answer\n" });
    }
    SessionExchange(const SessionExchange&) = delete;
    SessionExchange& operator=(const SessionExchange&) = delete;

    void respond(HttpResponse response) override
    {
        if (!m_responded.exchange(true))
            m_session->respond(m_number, std::move(response));
    }
    void onDisconnect(std::function<void()> handler) override { m_session->setDisconnectHandler(m_number, std::move(handler)); }
    Duration networkTime() const override { return m_networkTime; }
    std::string callerAddress() const override { return m_callerAddress; }

private:
    std::shared_ptr<HttpServerSession> m_session;
    std::uint64_t m_number;
    Duration m_networkTime;
    std::string m_callerAddress;
    std::atomic<bool> m_responded { false };
};

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string formatResponse(const HttpResponse& response, bool keepAlive)
{
    std::string out;
    out.reserve(response.body.size() + 256);
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    if (!response.contentType.empty())
        appendHeader(out, "Content-Type", response.contentType);
    for (const auto& [name, value] : response.headers.fields())
        appendHeader(out, name, value);
    if (response.status != 204)
        appendHeader(out, "Content-Length", std::to_string(response.body.size()));
    if (!keepAlive)
        appendHeader(out, "Connection", "close");
    out.append("\r\n");
    if (response.status != 204)
        out.append(response.body);
    return out;
}

}

HttpServerSession::HttpServerSession(std::uint64_t id, boost::asio::ip::tcp::socket socket, HttpServerContext context)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_context(std::move(context))
    , m_timeoutTimer(m_socket.get_executor())
{
    boost::system::error_code ec;
    const auto caller = m_socket.remote_endpoint(ec);
    if (!ec)
        m_callerAddress = caller.address().to_string();
    startMessage();
}

void HttpServerSession::startMessage()
{
    m_limits = m_context.limits->read();
    m_buffer.max_size(m_limits->maxHeaderBytes + m_limits->maxPipelinedBytes + m_limits->maxBodyBytes + 2 * sizeof(m_chunk) + m_buffer.size());
    m_reader.emplace(*m_limits);
    setBuffered(m_buffer.size());
}

void HttpServerSession::start()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        self->m_idleSince = self->m_context.clock->now();
        self->readMore();
        self->scheduleTimeoutCheck();
    });
}

void HttpServerSession::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->finish(); });
}

void HttpServerSession::closeIfIdle()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_handling && self->m_messageStarted == never)
            self->finish();
    });
}

void HttpServerSession::readMore()
{
    const bool isFull = m_handling && m_lingerStarted == never && (m_buffer.size() >= m_limits->maxPipelinedBytes || isOverMemoryLimit());
    if (m_reading || m_closed || isFull)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) { self->onRead(ec, n); });
}

void HttpServerSession::onRead(const boost::system::error_code& ec, std::size_t n)
{
    m_reading = false;
    if (m_closed)
        return;
    if (m_lingerStarted != never && !ec) {
        readMore();
        return;
    }
    if (ec) {
        reportDisconnect();
        finish();
        return;
    }
    // The parser consumes m_buffer while a read is pending, which can move the buffer's storage. The read therefore goes to m_chunk.
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(n), boost::asio::buffer(m_chunk.data(), n)));
    setBuffered(m_buffered + n);
    if (!m_handling && isOverMemoryLimit())
        refuseForMemory();
    else if (!m_handling)
        parseMore();
    if (!m_closed)
        readMore();
}

void HttpServerSession::setBuffered(std::uint64_t n)
{
    // Unsigned arithmetic: the difference may be negative.
    *m_context.bufferedBytes += n - m_buffered;
    m_buffered = n;
}

bool HttpServerSession::isOverMemoryLimit() const
{
    return m_buffered > m_limits->maxHeaderBytes && m_context.bufferedBytes->load() > m_limits->maxBufferedBytes;
}

void HttpServerSession::reportDisconnect()
{
    if (!m_handling)
        return;
    ++m_context.counters->disconnectedCallers;
    if (m_disconnectHandler)
        std::exchange(m_disconnectHandler, nullptr)();
}

void HttpServerSession::parseMore()
{
    if (m_buffer.size() == 0)
        return;
    if (m_messageStarted == never)
        m_messageStarted = m_context.clock->now();
    switch (m_reader->take(m_buffer)) {
    case HttpRequestReader::State::NeedsMore:
        return continueIfExpected();
    case HttpRequestReader::State::Done:
        return dispatch();
    case HttpRequestReader::State::Refused:
        return refuse();
    }
}

void HttpServerSession::continueIfExpected()
{
    if (!m_reader->takeExpectation())
        return;
    auto line = std::make_shared<const std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(m_socket, boost::asio::buffer(*line), [self = shared_from_this(), line](const boost::system::error_code&, std::size_t) {});
}

void HttpServerSession::refuse()
{
    const bool isMalformed = m_reader->status() == 400;
    ++(isMalformed ? m_context.counters->malformed : m_context.counters->oversized);
    m_handling = true;
    ++m_requestNumber;
    sendResponse({ m_reader->status(), "text/plain", m_reader->reason() + "\n" }, false);
}

void HttpServerSession::refuseForMemory()
{
    ++m_context.counters->overMemoryLimit;
    m_handling = true;
    ++m_requestNumber;
    HttpResponse response { unavailable, "text/plain", "too many bytes of unanswered requests\n" };
    response.headers.add("Retry-After", memoryRetryAfter);
    sendResponse(response, false);
}

void HttpServerSession::dispatch()
{
    ++m_context.counters->requests;
    m_messageStarted = never;
    m_handling = true;
    m_keepAlive = m_reader->keepAlive() && !m_context.draining->load();
    const auto number = ++m_requestNumber;
    m_context.handler.handle(m_reader->release(), std::make_shared<SessionExchange>(shared_from_this(), number, networkTime(), m_callerAddress));
}

Duration HttpServerSession::networkTime()
{
    const auto roundTrip = tcpRoundTrip(m_socket.native_handle());
    const bool isFirst = m_requestNumber == 1;
    return isFirst ? 2 * roundTrip : roundTrip;
}

void HttpServerSession::respond(std::uint64_t requestNumber, HttpResponse response)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), requestNumber, response = std::move(response)] {
        if (self->m_closed || requestNumber != self->m_requestNumber)
            return;
        self->m_disconnectHandler = nullptr;
        self->sendResponse(response, self->m_keepAlive && !self->m_context.draining->load());
    });
}

void HttpServerSession::setDisconnectHandler(std::uint64_t requestNumber, std::function<void()> handler)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), requestNumber, handler = std::move(handler)] {
        if (requestNumber != self->m_requestNumber)
            return;
        if (self->m_closed)
            handler();
        else
            self->m_disconnectHandler = handler;
    });
}

void HttpServerSession::sendResponse(const HttpResponse& response, bool keepAlive)
{
    m_outgoing = formatResponse(response, keepAlive);
    m_writeStarted = m_context.clock->now();
    m_isSending = true;
    chargeOutgoing();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing),
        [self = shared_from_this(), keepAlive](const boost::system::error_code& ec, std::size_t) { self->onWritten(ec, keepAlive); });
}

void HttpServerSession::chargeOutgoing()
{
    m_charge.emplace(m_limits->buffers, "callers", [weak = weak_from_this(), number = m_requestNumber, executor = m_socket.get_executor()] {
        boost::asio::post(executor, [weak, number] {
            const auto self = weak.lock();
            // By now the response may be written, and the next one be on its way.
            if (self && self->m_requestNumber == number && self->m_writeStarted != never)
                self->finish();
        });
    });
    m_charge->set(m_outgoing.capacity());
}

void HttpServerSession::releaseOutgoing()
{
    m_charge.reset();
    m_outgoing.clear();
    if (m_outgoing.capacity() > keptOutgoingBytes)
        m_outgoing.shrink_to_fit();
}

void HttpServerSession::onWritten(const boost::system::error_code& ec, bool keepAlive)
{
    releaseOutgoing();
    m_isSending = false;
    if (m_closed)
        return;
    m_writeStarted = never;
    m_handling = false;
    if (ec || !keepAlive) {
        linger();
        return;
    }
    m_idleSince = m_context.clock->now();
    startMessage();
    parseMore();
    if (!m_closed)
        readMore();
}

void HttpServerSession::linger()
{
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        finish();
        return;
    }
    m_lingerStarted = m_context.clock->now();
    m_messageStarted = never;
    m_buffer.clear();
    setBuffered(0);
    readMore();
}

bool HttpServerSession::isOverdue(TimePoint now) const
{
    const auto& limits = *m_limits;
    const auto messageLimit = m_reader->isHeaderDone() ? limits.messageTimeout : limits.headerTimeout;
    const bool isMessageLate = m_messageStarted != never && now - m_messageStarted > messageLimit;
    const bool isWriteLate = m_writeStarted != never && now - m_writeStarted > limits.writeTimeout;
    if (m_lingerStarted != never)
        return now - m_lingerStarted > lingerTimeout;
    const bool isIdleTooLong = !m_handling && m_messageStarted == never && now - m_idleSince > limits.idleTimeout;
    return isMessageLate || isWriteLate || isIdleTooLong;
}

void HttpServerSession::scheduleTimeoutCheck()
{
    m_timeoutTimer.expires_after(m_limits->checkInterval);
    m_timeoutTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec || self->m_closed)
            return;
        if (!self->isOverdue(self->m_context.clock->now())) {
            self->scheduleTimeoutCheck();
            return;
        }
        if (self->m_lingerStarted == never && (self->m_messageStarted != never || self->m_writeStarted != never))
            ++self->m_context.counters->slow;
        self->reportDisconnect();
        self->finish();
    });
}

void HttpServerSession::finish()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ec;
    m_timeoutTimer.cancel();
    m_socket.close(ec);
    m_disconnectHandler = nullptr;
    setBuffered(0);
    m_context.onEnd(m_id);
}

}
