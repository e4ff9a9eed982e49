#include "daemon/control_channel.h"

#include "wire/frame_codec.h"

namespace lycheefield {

namespace {

/// IPv4 header, and TCP header with timestamps: most messages are sent in a segment of their own.
constexpr std::uint64_t headerBytes = 20 + 32;

}

ControlChannel::ControlChannel(PeerNetwork& network, std::shared_ptr<const Clock> clock, Share loss, std::unique_ptr<RandomSource> random)
    : m_network(network)
    , m_clock(std::move(clock))
    , m_loss(loss)
    , m_random(std::move(random))
{
}

void ControlChannel::send(const InstanceName& to, PeerMessage message)
{
    m_sent += sizeOf(message);
    if (!shouldDrop())
        m_network.send(to, std::move(message));
}

void ControlChannel::reply(const InstanceName& to, PeerMessage message)
{
    m_sent += sizeOf(message);
    if (!shouldDrop())
        m_network.reply(to, std::move(message));
}

void ControlChannel::countReceived(const PeerMessage& message)
{
    m_received += sizeOf(message);
}

ControlBytes ControlChannel::bytes() const
{
    return { { m_sent.load() }, { m_received.load() } };
}

std::uint64_t ControlChannel::sizeOf(const PeerMessage& message) const
{
    return encodeFrame(message, m_clock->now()).size() + headerBytes;
}

bool ControlChannel::shouldDrop()
{
    if (m_loss.value <= 0)
        return false;
    const std::lock_guard lock(m_mutex);
    return m_random->unit() < m_loss.value;
}

}
