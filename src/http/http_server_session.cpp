#include "http/http_server_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

namespace lycheefield {

namespace http = boost::beast::http;

namespace {

/// How long a connection that we ended is still read, so that its last reply is not lost to a reset.
constexpr Duration lingerTimeout = std::chrono::seconds(2);

/// Ties a request to its session for as long as somebody may still answer it.
class SessionExchange final : public HttpExchange {
public:
    SessionExchange(std::shared_ptr<HttpServerSession> session, std::uint64_t number)
        : m_session(std::move(session))
        , m_number(number)
    {
    }
    ~SessionExchange() override
    {
        if (!m_answered.exchange(true))
            m_session->respond(m_number, { 500, "text/plain", "no answer\n" });
    }
    SessionExchange(const SessionExchange&) = delete;
    SessionExchange& operator=(const SessionExchange&) = delete;

    void respond(HttpResponse reply) override
    {
        if (!m_answered.exchange(true))
            m_session->respond(m_number, std::move(reply));
    }
    void onGone(std::function<void()> handler) override { m_session->setGoneHandler(m_number, std::move(handler)); }

private:
    std::shared_ptr<HttpServerSession> m_session;
    std::uint64_t m_number;
    std::atomic<bool> m_answered { false };
};

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string formatReply(const HttpResponse& reply, bool keepAlive)
{
    std::string out;
    out.reserve(reply.body.size() + 256);
    const auto reason = http::obsolete_reason(static_cast<http::status>(reply.status));
    out.append("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    if (!reply.contentType.empty())
        appendHeader(out, "Content-Type", reply.contentType);
    for (const auto& [name, value] : reply.headers.fields())
        appendHeader(out, name, value);
    if (reply.status != 204)
        appendHeader(out, "Content-Length", std::to_string(reply.body.size()));
    if (!keepAlive)
        appendHeader(out, "Connection", "close");
    out.append("\r\n");
    if (reply.status != 204)
        out.append(reply.body);
    return out;
}

}

HttpServerSession::HttpServerSession(std::uint64_t id, boost::asio::ip::tcp::socket socket, HttpServerContext context)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_context(std::move(context))
    , m_watchdog(m_socket.get_executor())
{
    startMessage();
}

void HttpServerSession::startMessage()
{
    m_limits = m_context.limits->read();
    m_buffer.max_size(m_limits->maxHeaderBytes + m_limits->maxPipelinedBytes + m_limits->maxBodyBytes + 2 * sizeof(m_chunk) + m_buffer.size());
    m_reader.emplace(*m_limits);
}

void HttpServerSession::start()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        self->m_idleSince = self->m_context.clock->now();
        self->readMore();
        self->watch();
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
    const bool isFull = m_handling && m_buffer.size() >= m_limits->maxPipelinedBytes;
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
    if (m_lingerSince != never && !ec) {
        readMore();
        return;
    }
    if (ec) {
        noticeGone();
        finish();
        return;
    }
    // The buffer is consumed while a read is under way, which moves it: bytes come in by way of m_chunk.
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(n), boost::asio::buffer(m_chunk.data(), n)));
    if (!m_handling)
        parseMore();
    if (!m_closed)
        readMore();
}

void HttpServerSession::noticeGone()
{
    if (!m_handling)
        return;
    ++m_context.counters->gone;
    if (m_goneHandler)
        std::exchange(m_goneHandler, nullptr)();
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
    sendReply({ m_reader->status(), "text/plain", m_reader->reason() + "\n" }, false);
}

void HttpServerSession::dispatch()
{
    ++m_context.counters->requests;
    m_messageStarted = never;
    m_handling = true;
    m_keepAlive = m_reader->keepAlive() && !m_context.draining->load();
    const auto number = ++m_requestNumber;
    m_context.handler.handle(m_reader->release(), std::make_shared<SessionExchange>(shared_from_this(), number));
}

void HttpServerSession::respond(std::uint64_t requestNumber, HttpResponse reply)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), requestNumber, reply = std::move(reply)] {
        if (self->m_closed || requestNumber != self->m_requestNumber)
            return;
        self->m_goneHandler = nullptr;
        self->sendReply(reply, self->m_keepAlive && !self->m_context.draining->load());
    });
}

void HttpServerSession::setGoneHandler(std::uint64_t requestNumber, std::function<void()> handler)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), requestNumber, handler = std::move(handler)] {
        if (requestNumber != self->m_requestNumber)
            return;
        if (self->m_closed)
            handler();
        else
            self->m_goneHandler = handler;
    });
}

void HttpServerSession::sendReply(const HttpResponse& reply, bool keepAlive)
{
    m_out = formatReply(reply, keepAlive);
    m_writeStarted = m_context.clock->now();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
        [self = shared_from_this(), keepAlive](const boost::system::error_code& ec, std::size_t) { self->onWritten(ec, keepAlive); });
}

void HttpServerSession::onWritten(const boost::system::error_code& ec, bool keepAlive)
{
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
    m_lingerSince = m_context.clock->now();
    m_messageStarted = never;
    m_buffer.clear();
    readMore();
}

bool HttpServerSession::isOverdue(TimePoint now) const
{
    const auto& limits = *m_limits;
    const auto messageLimit = m_reader->isHeaderDone() ? limits.messageTimeout : limits.headerTimeout;
    const bool messageLate = m_messageStarted != never && now - m_messageStarted > messageLimit;
    const bool writeLate = m_writeStarted != never && now - m_writeStarted > limits.writeTimeout;
    if (m_lingerSince != never)
        return now - m_lingerSince > lingerTimeout;
    const bool idleLate = !m_handling && m_messageStarted == never && now - m_idleSince > limits.idleTimeout;
    return messageLate || writeLate || idleLate;
}

void HttpServerSession::watch()
{
    m_watchdog.expires_after(m_limits->checkInterval);
    m_watchdog.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec || self->m_closed)
            return;
        if (!self->isOverdue(self->m_context.clock->now())) {
            self->watch();
            return;
        }
        if (self->m_lingerSince == never && (self->m_messageStarted != never || self->m_writeStarted != never))
            ++self->m_context.counters->slow;
        self->noticeGone();
        self->finish();
    });
}

void HttpServerSession::finish()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ec;
    m_watchdog.cancel();
    m_socket.close(ec);
    m_goneHandler = nullptr;
    m_context.onEnd(m_id);
}

}
