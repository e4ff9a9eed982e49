#include "daemon/control_channel.h"

#include "support/virtual_clock.h"
#include "wire/frame_codec.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

class CountingNetwork final : public PeerNetwork {
public:
    void send(const InstanceName&, PeerMessage) override { ++sent; }
    void reply(const InstanceName&, PeerMessage) override { ++replied; }
    void broadcast(const PeerMessage&) override { }

    int sent = 0;
    int replied = 0;
};

}

TEST_CASE("The control channel counts the bytes of the messages of membership and rules" * doctest::test_suite("daemon"))
{
    constexpr std::uint64_t seed = 20261204;
    constexpr std::uint64_t headerBytes = 52;
    CAPTURE(seed);
    CountingNetwork network;
    const auto clock = std::make_shared<VirtualClock>();
    const InstanceName peer("i1");
    GossipMessage message;
    message.sequence = 300;
    const auto frameBytes = encodeFrame(message, clock->now()).size();

    SUBCASE("Bytes sent and received include the headers")
    {
        ControlChannel channel(network, clock, Share(), std::make_unique<SeededRandom>(seed));
        channel.send(peer, message);
        channel.reply(peer, message);
        channel.countReceived(message);
        CHECK(channel.bytes().sent.value == 2 * (frameBytes + headerBytes));
        CHECK(channel.bytes().received.value == frameBytes + headerBytes);
        CHECK(network.sent == 1);
        CHECK(network.replied == 1);
    }
    SUBCASE("Bytes of messages that the channel drops for a fault test are counted")
    {
        ControlChannel channel(network, clock, percent(10), std::make_unique<SeededRandom>(seed));
        constexpr int messages = 10000;
        for (int i = 0; i < messages; ++i)
            channel.send(peer, message);
        CHECK(channel.bytes().sent.value == messages * (frameBytes + headerBytes));
        CHECK(network.sent > 8800);
        CHECK(network.sent < 9200);
    }
}

}
