#include "wire/frame_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace lycheefield {

namespace {

constexpr std::size_t initialReadBytes = 16 * 1024;
/// Frames are gathered up to this size before a write starts.
constexpr std::size_t writeBatchBytes = 256 * 1024;

}

FrameSession::FrameSession(Socket socket, Hello self, std::shared_ptr<FrameSessionEvents> events, std::shared_ptr<const Clock> clock,
    std::shared_ptr<WireCounters> counters, FrameSessionLimits limits)
    : m_socket(std::move(socket))
    , m_watchdog(m_socket.get_executor())
    , m_self(std::move(self))
    , m_events(std::move(events))
    , m_clock(std::move(clock))
    , m_counters(std::move(counters))
    , m_limits(limits)
    , m_in(initialReadBytes)
{
}

void FrameSession::start()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_closed)
            return;
        boost::system::error_code ec;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        self->m_started = self->m_clock->now();
        self->m_queue.push_front(self->m_self);
        self->writeMore();
        self->readMore();
        self->watch();
    });
}

void FrameSession::send(PeerMessage message)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), message = std::move(message)]() mutable { self->queue(std::move(message)); });
}

void FrameSession::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->finish(); });
}

void FrameSession::queue(PeerMessage message)
{
    if (m_closed) {
        std::vector<PeerMessage> unsent;
        unsent.push_back(std::move(message));
        if (m_events)
            m_events->onClosed(*this, std::move(unsent));
        return;
    }
    m_queue.push_back(std::move(message));
    if (m_queue.size() > m_limits.maxQueuedMessages) {
        ++m_counters->overflows;
        finish();
        return;
    }
    if (m_out.empty())
        writeMore();
}

void FrameSession::readMore()
{
    if (m_inUsed == m_in.size())
        m_in.resize(m_in.size() * 2);
    m_socket.async_read_some(boost::asio::buffer(m_in.data() + m_inUsed, m_in.size() - m_inUsed),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) { self->onRead(ec, n); });
}

void FrameSession::onRead(const boost::system::error_code& ec, std::size_t n)
{
    if (m_closed)
        return;
    if (ec) {
        finish();
        return;
    }
    m_counters->bytesIn += n;
    m_inUsed += n;
    if (!takeFrames())
        return;
    watch();
    readMore();
}

bool FrameSession::takeFrames()
{
    std::size_t at = 0;
    while (m_inUsed - at >= frameHeaderBytes) {
        std::array<unsigned char, frameHeaderBytes> header {};
        std::memcpy(header.data(), m_in.data() + at, frameHeaderBytes);
        const std::size_t length = decodeFrameHeader(header);
        if (length == 0 || length > m_limits.frame.maxFrameBytes) {
            ++m_counters->badFrames;
            finish();
            return false;
        }
        if (m_inUsed - at - frameHeaderBytes < length)
            break;
        if (!takeFrame({ m_in.data() + at + frameHeaderBytes, length }))
            return false;
        at += frameHeaderBytes + length;
    }
    std::memmove(m_in.data(), m_in.data() + at, m_inUsed - at);
    m_inUsed -= at;
    if (m_inUsed == 0)
        m_frameStarted = never;
    else if (at > 0 || m_frameStarted == never)
        m_frameStarted = m_clock->now();
    return true;
}

bool FrameSession::takeFrame(std::string_view payload)
{
    ++m_counters->framesIn;
    auto message = decodeFrame(payload, m_clock->now(), m_limits.frame);
    if (!message && message.error().kind == ErrorKind::NotFound) {
        ++m_counters->skippedFrames;
        return true;
    }
    const bool isHello = message && std::holds_alternative<Hello>(message.value());
    if (!message || isHello == m_peer.has_value()) {
        ++m_counters->badFrames;
        finish();
        return false;
    }
    if (!isHello) {
        m_events->onMessage(*this, std::move(message.value()));
        return !m_closed;
    }
    m_peer = std::get<Hello>(message.value());
    if (!m_events->onHello(*this, *m_peer)) {
        finish();
        return false;
    }
    return !m_closed;
}

void FrameSession::writeMore()
{
    m_out.clear();
    const auto now = m_clock->now();
    while (!m_queue.empty() && m_out.size() < writeBatchBytes) {
        m_out += encodeFrame(m_queue.front(), now);
        m_queue.pop_front();
        ++m_counters->framesOut;
    }
    m_writeStarted = m_out.empty() ? never : now;
    if (m_out.empty())
        return;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) { self->onWritten(ec, n); });
    watch();
}

void FrameSession::onWritten(const boost::system::error_code& ec, std::size_t n)
{
    m_counters->bytesOut += n;
    if (m_closed)
        return;
    if (ec) {
        finish();
        return;
    }
    writeMore();
}

bool FrameSession::isOverdue(TimePoint now) const
{
    const bool helloLate = !m_peer && now - m_started > m_limits.helloTimeout;
    const bool frameLate = m_frameStarted != never && now - m_frameStarted > m_limits.frameTimeout;
    const bool writeLate = m_writeStarted != never && now - m_writeStarted > m_limits.writeTimeout;
    return helloLate || frameLate || writeLate;
}

/// Looks whether the peer is late, for as long as something is awaited from it. An idle session has
/// no timer: with a connection to and from each peer there are a thousand of them.
void FrameSession::watch()
{
    const bool awaits = !m_peer || m_frameStarted != never || m_writeStarted != never;
    if (m_isWatching || m_closed || !awaits)
        return;
    m_isWatching = true;
    m_watchdog.expires_after(m_limits.checkInterval);
    m_watchdog.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_isWatching = false;
        if (ec || self->m_closed)
            return;
        if (self->isOverdue(self->m_clock->now())) {
            ++self->m_counters->timeouts;
            self->finish();
            return;
        }
        self->watch();
    });
}

void FrameSession::finish()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ec;
    m_watchdog.cancel();
    m_socket.close(ec);
    std::vector<PeerMessage> unsent(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(m_queue.end()));
    m_queue.clear();
    m_events->onClosed(*this, std::move(unsent));
}

}
