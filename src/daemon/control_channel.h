#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "base/units.h"
#include "wire/peer_network.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace lycheefield {

/// Bytes that membership and rules sent and received, including IP and TCP headers.
struct ControlBytes {
    ByteCount sent;
    ByteCount received;

    friend bool operator==(const ControlBytes&, const ControlBytes&) = default;
};

/// Sends the messages of membership and rules and counts their bytes. For fault tests the channel drops a
/// share of the messages; dropped messages are counted too. Thread safe.
class ControlChannel {
public:
    /// Precondition: the network outlives the channel.
    ControlChannel(PeerNetwork&, std::shared_ptr<const Clock>, Share loss, std::unique_ptr<RandomSource>);

    /// Sends over the connection that this process opened.
    void send(const InstanceName& to, PeerMessage);
    /// Sends over the connection that the peer opened.
    void reply(const InstanceName& to, PeerMessage);
    /// Counts a message of membership or rules that was received.
    void countReceived(const PeerMessage&);
    ControlBytes bytes() const;

private:
    std::uint64_t sizeOf(const PeerMessage&) const;
    bool shouldDrop();

    PeerNetwork& m_network;
    std::shared_ptr<const Clock> m_clock;
    Share m_loss;
    std::unique_ptr<RandomSource> m_random;
    std::mutex m_mutex; ///< Guards m_random.
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_received { 0 };
};

}
