#include "support/raw_caller.h"
#include "support/virtual_clock.h"
#include "wire/asio_peer_network.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

namespace lycheefield {

namespace {

constexpr std::size_t chunkBytes = 64 * 1024;

/// Counts the messages of peers.
class CountingPeerHandler final : public PeerHandler {
public:
    void onPeerMessage(const Hello&, PeerMessage) override { ++messages; }
    void onLinkLost(const InstanceName&) override { }
    void onUndelivered(const InstanceName&, PeerMessage, UndeliveredReason) override { }
    void onPeerDisconnected(const InstanceName&) override { }

    std::size_t messages = 0;
};

/// The inner port of one instance, whose connections may buffer 8 MiB together.
struct InnerPortFixture {
    InnerPortFixture()
        : network({ io, { InstanceName("a"), ProcessLife(1), ZoneName("ikeja-a") }, clock, counters, limits(), std::nullopt }, view, handler)
        , endpoint(network.listen({ "127.0.0.1", 0 }).value())
    {
    }

    FrameSessionLimits limits() const
    {
        FrameSessionLimits limits;
        limits.buffers = buffers;
        return limits;
    }

    static std::string helloFrame(const std::string& name) { return encodeFrame(Hello { InstanceName(name), ProcessLife(9), ZoneName("z") }, TimePoint()); }

    /// Sends the bytes in pieces that the instance reads in between.
    void send(RawCaller& peer, std::string_view bytes)
    {
        for (; !bytes.empty() && !peer.isClosed(); bytes.remove_prefix(std::min(chunkBytes, bytes.size()))) {
            peer.send(bytes.substr(0, chunkBytes));
            io.restart();
            io.poll();
        }
    }

    boost::asio::io_context io { 1 };
    std::shared_ptr<VirtualClock> clock = std::make_shared<VirtualClock>();
    std::shared_ptr<BufferLimit> buffers = std::make_shared<BufferLimit>(mebibytes(8));
    std::shared_ptr<WireCounters> counters = std::make_shared<WireCounters>();
    Snapshot<MembershipView> view;
    CountingPeerHandler handler;
    AsioPeerNetwork network;
    Endpoint endpoint;
};

}

TEST_SUITE_BEGIN("wire");

// Guards against connections to the inner port that each send a part of a frame of the largest size.
TEST_CASE_FIXTURE(InnerPortFixture, "Frames that never end stay within the memory of all connections")
{
    constexpr std::size_t peers = 8;
    const auto announced = std::string("\x00\xff\xff\xff", 4);
    std::deque<RawCaller> senders;
    for (std::size_t i = 0; i < peers; ++i)
        senders.emplace_back(io, endpoint);
    std::vector<std::string> hellos(peers);
    SUBCASE("of peers")
    {
        for (std::size_t i = 0; i < peers; ++i)
            hellos[i] = helloFrame("peer" + std::to_string(i));
    }
    SUBCASE("of programs that are no peers") { }
    for (std::size_t i = 0; i < peers; ++i)
        send(senders[i], hellos[i] + announced + std::string(3 * 1024 * 1024, 'x'));
    CHECK(std::any_of(senders.begin(), senders.end(), [](const auto& it) { return it.isClosed(); }));
    CHECK(buffers->peakBytes() > 0);
    // A buffer that grows doubles its memory.
    CHECK(buffers->peakBytes() <= mebibytes(16).value);
    const auto evictions = buffers->takeEvictions();
    REQUIRE(evictions.size() == 1);
    CHECK(evictions[0].owner == "peers");
}

TEST_CASE_FIXTURE(InnerPortFixture, "A connection to a peer frees the memory of a large frame once it is read")
{
    RawCaller peer(io, endpoint);
    send(peer, helloFrame("peer"));
    for (std::size_t i = 1; i <= 3; ++i) {
        send(peer, encodeFrame(Control { i, "ping", "", false, std::string(2 * 1024 * 1024, 'x') }, TimePoint()));
        runUntil(io, [&] { return handler.messages == i; });
        CHECK(buffers->peakBytes() >= 2 * 1024 * 1024);
        CHECK(buffers->bytes() == 0);
    }
    CHECK_FALSE(peer.isClosed());
}

TEST_SUITE_END();

}
