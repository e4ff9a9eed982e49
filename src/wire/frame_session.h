#pragma once

#include "base/buffer_limit.h"
#include "base/clock.h"
#include "base/time.h"
#include "wire/frame_codec.h"
#include "wire/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

class FrameSession;

/// Receives the events of a FrameSession. All calls are made on the session's strand.
class FrameSessionEvents {
public:
    virtual ~FrameSessionEvents() = default;
    /// Called once, before any message, when the peer has identified itself. Returning false closes the session.
    virtual bool onHello(FrameSession&, const Hello&) = 0;
    virtual void onMessage(FrameSession&, PeerMessage) = 0;
    /// Called when the session has closed, and again for each message that is sent after that. No byte of
    /// the unsent messages was written to the socket.
    virtual void onClosed(FrameSession&, std::vector<PeerMessage> unsent) = 0;
};

/// Limits of one session.
struct FrameSessionLimits {
    FrameLimits frame;
    /// Limits the bytes of frames that all connections together are receiving, and ends those that hold too many.
    std::shared_ptr<BufferLimit> buffers = BufferLimit::ofProcess();
    std::size_t maxQueuedMessages = 65536;
    Duration helloTimeout = std::chrono::seconds(5); ///< From the start of the session to the peer's Hello.
    Duration frameTimeout = std::chrono::seconds(10); ///< From the first byte of a frame to its last.
    Duration writeTimeout = std::chrono::seconds(10); ///< Longest time for one write; a peer that reads too slowly is disconnected.
    Duration checkInterval = std::chrono::seconds(1); ///< Interval of the watchdog's checks for an overdue peer.

    friend bool operator==(const FrameSessionLimits&, const FrameSessionLimits&) = default;
};

/// Counters of all sessions of one process. All members are thread safe.
struct WireCounters {
    std::atomic<std::uint64_t> framesIn { 0 };
    std::atomic<std::uint64_t> framesOut { 0 };
    std::atomic<std::uint64_t> bytesIn { 0 };
    std::atomic<std::uint64_t> bytesOut { 0 };
    std::atomic<std::uint64_t> badFrames { 0 }; ///< Invalid frames; each closed its session.
    std::atomic<std::uint64_t> skippedFrames { 0 }; ///< Frames with a message of a kind that this release doesn't know.
    std::atomic<std::uint64_t> timeouts { 0 }; ///< Sessions closed because the peer was overdue.
    std::atomic<std::uint64_t> overflows { 0 }; ///< Sessions closed because their send queue was full.
};

/// One connection to or from a peer. Both ends send frames with a length prefix, and a Hello first.
///
/// A session keeps itself alive while it reads or writes. Messages that are queued during a write go
/// out together in the next write. The session learns the peer's clock from the frames of both directions, so that times in
/// messages count from when their frames were sent. Public methods are thread safe.
class FrameSession : public std::enable_shared_from_this<FrameSession> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Precondition: the socket's executor is a strand. The events object is kept alive by the session.
    FrameSession(Socket, Hello self, std::shared_ptr<FrameSessionEvents>, std::shared_ptr<const Clock>, std::shared_ptr<WireCounters>, FrameSessionLimits);

    /// Sends this instance's Hello and starts to read. Call once.
    void start();
    /// Enqueues a message. A closed session returns the message through onClosed.
    void send(PeerMessage);
    /// Closes the session and returns the queued messages as unsent through onClosed.
    void close();

    /// Returns the identity of the peer; empty before its Hello. Call on the session's strand only.
    const std::optional<Hello>& peer() const { return m_peer; }

private:
    /// Counts the frame that is being received among the buffers of all connections, which may end this session for it.
    void startCharging();
    void chargeReadBuffer();
    /// Frees the memory of a large frame that has been processed. Precondition: no read is pending.
    void shrinkReadBuffer();
    void readMore();
    void onRead(const boost::system::error_code&, std::size_t);
    /// Returns false when the session has closed.
    bool processFrames();
    bool processFrame(std::string_view payload);
    /// Answers a message about the clocks, which is no matter of the session's owner. Returns false for any other message.
    bool processClockMessage(const PeerMessage&);
    void queue(PeerMessage);
    void writeMore();
    void onWritten(const boost::system::error_code&, std::size_t);
    void armWatchdog();
    bool isOverdue(TimePoint) const;
    void finish();

    Socket m_socket;
    boost::asio::steady_timer m_watchdog;
    Hello m_self;
    std::shared_ptr<FrameSessionEvents> m_events;
    std::shared_ptr<const Clock> m_clock;
    std::shared_ptr<WireCounters> m_counters;
    FrameSessionLimits m_limits;
    std::optional<Hello> m_peer;
    PeerClock m_peerClock;
    std::optional<BufferCharge> m_charge; ///< For m_readBuffer.
    std::vector<char> m_readBuffer;
    std::size_t m_readSize = 0;
    TimePoint m_frameStarted = never; ///< `never` while no frame is incomplete.
    std::deque<PeerMessage> m_queue;
    std::string m_writeBuffer;
    TimePoint m_writeStarted = never;
    TimePoint m_started = never;
    bool m_isWatchdogArmed = false;
    bool m_closed = false;
};

}
