#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "base/units.h"
#include "wire/peer_network.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace lycheefield {

/// What membership and rules have sent and received, IP and TCP headers included.
struct ControlBytes {
    ByteCount sent;
    ByteCount received;

    friend bool operator==(const ControlBytes&, const ControlBytes&) = default;
};

/// Carries the messages of membership and rules, and counts each byte of them. For tests it drops a
/// share of them instead of sending. Thread safe.
class ControlChannel {
public:
    /// Precondition: the network outlives the channel.
    ControlChannel(PeerNetwork&, std::shared_ptr<const Clock>, Share loss, std::unique_ptr<RandomSource>);

    /// Over the connection that this process opens.
    void send(const InstanceName& to, PeerMessage);
    /// Over the connection that the peer opened.
    void reply(const InstanceName& to, PeerMessage);
    /// A message of membership or rules came in.
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
