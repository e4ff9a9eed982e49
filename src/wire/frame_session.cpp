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
/// Queued frames are batched up to this size into one write.
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
    , m_limits(std::move(limits))
    , m_readBuffer(initialReadBytes)
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
        self->startCharging();
        self->m_queue.push_front(self->m_self);
        self->writeMore();
        self->readMore();
        self->armWatchdog();
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

void FrameSession::startCharging()
{
    m_charge.emplace(m_limits.buffers, "peers", [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
}

void FrameSession::chargeReadBuffer()
{
    // What each idle session has is not charged: none would be freed for it.
    m_charge->set(m_readBuffer.size() > initialReadBytes ? m_readBuffer.size() : 0);
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
    if (m_writeBuffer.empty())
        writeMore();
}

void FrameSession::readMore()
{
    if (m_readSize == m_readBuffer.size()) {
        m_readBuffer.resize(m_readBuffer.size() * 2);
        chargeReadBuffer();
    }
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer.data() + m_readSize, m_readBuffer.size() - m_readSize),
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
    m_readSize += n;
    if (!processFrames())
        return;
    armWatchdog();
    readMore();
}

bool FrameSession::processFrames()
{
    std::size_t offset = 0;
    while (m_readSize - offset >= frameHeaderBytes) {
        std::array<unsigned char, frameHeaderBytes> header {};
        std::memcpy(header.data(), m_readBuffer.data() + offset, frameHeaderBytes);
        const std::size_t length = decodeFrameHeader(header);
        if (length == 0 || length > m_limits.frame.maxFrameBytes) {
            ++m_counters->badFrames;
            finish();
            return false;
        }
        if (m_readSize - offset - frameHeaderBytes < length)
            break;
        if (!processFrame({ m_readBuffer.data() + offset + frameHeaderBytes, length }))
            return false;
        offset += frameHeaderBytes + length;
    }
    std::memmove(m_readBuffer.data(), m_readBuffer.data() + offset, m_readSize - offset);
    m_readSize -= offset;
    if (offset > 0)
        shrinkReadBuffer();
    if (m_readSize == 0)
        m_frameStarted = never;
    else if (offset > 0 || m_frameStarted == never)
        m_frameStarted = m_clock->now();
    return true;
}

void FrameSession::shrinkReadBuffer()
{
    if (m_readBuffer.size() == initialReadBytes || m_readSize >= initialReadBytes)
        return;
    m_readBuffer.resize(initialReadBytes);
    m_readBuffer.shrink_to_fit();
    chargeReadBuffer();
}

bool FrameSession::processFrame(std::string_view payload)
{
    ++m_counters->framesIn;
    const auto now = m_clock->now();
    auto message = decodeFrame(payload, m_peerClock, now, m_limits.frame);
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
        if (processClockMessage(message.value()))
            return !m_closed;
        if (m_peerClock.needsProbe(now))
            queue(ClockCall { now });
        if (m_closed)
            return false;
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

bool FrameSession::processClockMessage(const PeerMessage& message)
{
    const auto* call = std::get_if<ClockCall>(&message);
    if (call)
        queue(ClockReply { call->sentAt, m_clock->now() });
    return call || std::holds_alternative<ClockReply>(message);
}

void FrameSession::writeMore()
{
    m_writeBuffer.clear();
    const auto now = m_clock->now();
    while (!m_queue.empty() && m_writeBuffer.size() < writeBatchBytes) {
        m_writeBuffer += encodeFrame(m_queue.front(), m_peerClock.timesFor(now));
        m_queue.pop_front();
        ++m_counters->framesOut;
    }
    m_writeStarted = m_writeBuffer.empty() ? never : now;
    if (m_writeBuffer.empty())
        return;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) { self->onWritten(ec, n); });
    armWatchdog();
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
    const bool isHelloLate = !m_peer && now - m_started > m_limits.helloTimeout;
    const bool isFrameLate = m_frameStarted != never && now - m_frameStarted > m_limits.frameTimeout;
    const bool isWriteLate = m_writeStarted != never && now - m_writeStarted > m_limits.writeTimeout;
    return isHelloLate || isFrameLate || isWriteLate;
}

/// Checks for an overdue peer at each interval while the session waits for the peer. An idle session has
/// no timer, because a process has about a thousand sessions: one to and one from each peer.
void FrameSession::armWatchdog()
{
    const bool isWaitingForPeer = !m_peer || m_frameStarted != never || m_writeStarted != never;
    if (m_isWatchdogArmed || m_closed || !isWaitingForPeer)
        return;
    m_isWatchdogArmed = true;
    m_watchdog.expires_after(m_limits.checkInterval);
    m_watchdog.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_isWatchdogArmed = false;
        if (ec || self->m_closed)
            return;
        if (self->isOverdue(self->m_clock->now())) {
            ++self->m_counters->timeouts;
            self->finish();
            return;
        }
        self->armWatchdog();
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
