#pragma once

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

/// Who hears from a FrameSession. All calls come on the session's strand.
class FrameSessionEvents {
public:
    virtual ~FrameSessionEvents() = default;
    /// The peer said who it is. Comes once, before any message; return false to close the session.
    virtual bool onHello(FrameSession&, const Hello&) = 0;
    virtual void onMessage(FrameSession&, PeerMessage) = 0;
    /// The session ended; comes again for each message sent after the end. No byte of the unsent
    /// messages was handed to the connection.
    virtual void onClosed(FrameSession&, std::vector<PeerMessage> unsent) = 0;
};

/// Bounds of one session.
struct FrameSessionLimits {
    FrameLimits frame;
    std::size_t maxQueuedMessages = 65536;
    Duration helloTimeout = std::chrono::seconds(5); ///< From the connection to the peer's Hello.
    Duration frameTimeout = std::chrono::seconds(10); ///< From the first byte of a frame to its last.
    Duration writeTimeout = std::chrono::seconds(10); ///< A peer that takes no bytes for so long is closed.

    Duration checkInterval = std::chrono::seconds(1); ///< How often each session looks whether its peer is late.

    friend bool operator==(const FrameSessionLimits&, const FrameSessionLimits&) = default;
};

/// Counts what sessions of one process did. All members are thread safe.
struct WireCounters {
    std::atomic<std::uint64_t> framesIn { 0 };
    std::atomic<std::uint64_t> framesOut { 0 };
    std::atomic<std::uint64_t> bytesIn { 0 };
    std::atomic<std::uint64_t> bytesOut { 0 };
    std::atomic<std::uint64_t> badFrames { 0 }; ///< Each closed its session.
    std::atomic<std::uint64_t> skippedFrames { 0 }; ///< Of a kind that this release doesn't know.
    std::atomic<std::uint64_t> timeouts { 0 };
    std::atomic<std::uint64_t> overflows { 0 }; ///< Sessions closed because their queue was full.
};

/// One connection to a peer, in either direction: frames with a length prefix, Hello first both ways.
///
/// It keeps itself alive while it reads or writes. Messages queued while a write is under way go
/// out together in the next one. Public methods are thread safe.
class FrameSession : public std::enable_shared_from_this<FrameSession> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Precondition: the socket's executor is a strand. The events object lives until onClosed.
    FrameSession(Socket, Hello self, std::shared_ptr<FrameSessionEvents>, std::shared_ptr<const Clock>, std::shared_ptr<WireCounters>, FrameSessionLimits);

    /// Sends our Hello and starts to read. Call it once.
    void start();
    /// Queues a message. After the end of the session it comes back through onClosed or is dropped.
    void send(PeerMessage);
    /// Ends the session; what is queued comes back as unsent.
    void close();

    /// Who the peer is; empty before its Hello. Call it on the session's strand only.
    const std::optional<Hello>& peer() const { return m_peer; }

private:
    void readMore();
    void onRead(const boost::system::error_code&, std::size_t);
    /// False when the session has been closed.
    bool takeFrames();
    bool takeFrame(std::string_view payload);
    void queue(PeerMessage);
    void writeMore();
    void onWritten(const boost::system::error_code&, std::size_t);
    void watch();
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
    std::vector<char> m_in;
    std::size_t m_inUsed = 0;
    TimePoint m_frameStarted = never; ///< `never` while no frame is incomplete.
    std::deque<PeerMessage> m_queue;
    std::string m_out;
    TimePoint m_writeStarted = never;
    TimePoint m_started = never;
    bool m_isWatching = false; ///< The watchdog's timer is set.
    bool m_closed = false;
};

}
