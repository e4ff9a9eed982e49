#include "support/descriptor_limit.h"
#include "support/no_free_descriptors.h"
#include "support/raw_caller.h"
#include "support/virtual_clock.h"
#include "wire/asio_peer_network.h"

#include <boost/asio/steady_timer.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

/// Records all calls of a PeerHandler.
class RecordingPeerHandler final : public PeerHandler {
public:
    void onPeerMessage(const Hello& from, PeerMessage message) override { messages.emplace_back(from.instance, std::move(message)); }
    void onLinkLost(const InstanceName& peer) override { lostLinks.push_back(peer); }
    void onUndelivered(const InstanceName& to, PeerMessage message, UndeliveredReason reason) override
    {
        undelivered.emplace_back(to, std::move(message));
        reasons.push_back(reason);
    }
    void onPeerDisconnected(const InstanceName& peer) override { disconnectedPeers.push_back(peer); }

    std::vector<std::pair<InstanceName, PeerMessage>> messages;
    std::vector<InstanceName> lostLinks;
    std::vector<std::pair<InstanceName, PeerMessage>> undelivered;
    std::vector<UndeliveredReason> reasons; ///< For each undelivered message.
    std::vector<InstanceName> disconnectedPeers;
};

FrameSessionLimits testLimits()
{
    FrameSessionLimits limits;
    limits.frame.maxFrameBytes = 64 * 1024;
    limits.checkInterval = 1ms;
    return limits;
}

/// The peer network of one instance.
struct Node {
    Node(boost::asio::io_context& io, std::shared_ptr<const Clock> clock, const std::string& name, std::uint64_t life)
        : hello { InstanceName(name), ProcessLife(life), ZoneName("ikeja-a") }
        , network({ io, hello, std::move(clock), counters, testLimits(), std::nullopt }, view, handler)
        , endpoint(network.listen({ "127.0.0.1", 0 }).value())
    {
    }

    Instance instance() const { return { hello.instance, hello.life, endpoint, {}, hello.zone, InstanceHealth::Alive }; }

    Hello hello;
    Snapshot<MembershipView> view;
    RecordingPeerHandler handler;
    std::shared_ptr<WireCounters> counters = std::make_shared<WireCounters>();
    AsioPeerNetwork network;
    Endpoint endpoint;
};

struct PeersFixture {
    PeersFixture()
        : a(io, clock, "a", 1)
        , b(io, clock, "b", 2)
    {
        publish();
    }

    void publish()
    {
        const MembershipView view({ a.instance(), b.instance() });
        a.view.publish(view);
        b.view.publish(view);
    }

    /// Checks that a message reaches b from a, and a response returns on the same connection.
    void checkRoundTrip()
    {
        const auto n = b.handler.messages.size();
        const auto m = a.handler.messages.size();
        a.network.send(b.hello.instance, Control { n, "ping", "", false, "" });
        runUntil(io, [&] { return b.handler.messages.size() == n + 1; });
        CHECK(b.handler.messages.back().first == a.hello.instance);
        b.network.reply(a.hello.instance, Control { n, "", "", true, "pong" });
        runUntil(io, [&] { return a.handler.messages.size() == m + 1; });
        CHECK(std::get<Control>(a.handler.messages.back().second).payload == "pong");
    }

    boost::asio::io_context io;
    std::shared_ptr<VirtualClock> clock = std::make_shared<VirtualClock>();
    Node a;
    Node b;
};

std::string helloFrame(const std::string& name)
{
    return encodeFrame(Hello { InstanceName(name), ProcessLife(9), ZoneName("z") }, TimePoint());
}

}

TEST_SUITE_BEGIN("wire");

TEST_CASE_FIXTURE(PeersFixture, "Two instances exchange messages over the connection that one of them opened")
{
    checkRoundTrip();
    CHECK(a.counters->framesOut == 2);
    CHECK(b.counters->framesIn == 2);

    SUBCASE("A thousand messages to a peer arrive in order")
    {
        for (std::uint64_t i = 0; i < 1000; ++i)
            a.network.send(b.hello.instance, RuleRequest { RuleRevision(i) });
        runUntil(io, [&] { return b.handler.messages.size() == 1001; });
        bool isInOrder = true;
        for (std::uint64_t i = 0; i < 1000; ++i)
            isInOrder = isInOrder && std::get<RuleRequest>(b.handler.messages[i + 1].second).haveRevision == RuleRevision(i);
        CHECK(isInOrder);
    }
    SUBCASE("A broadcast reaches every other instance but not the sender")
    {
        a.network.broadcast(RuleRequest { RuleRevision(1) });
        runUntil(io, [&] { return b.handler.messages.size() == 2; });
        CHECK(a.handler.messages.size() == 1);
    }
}

TEST_CASE_FIXTURE(PeersFixture, "Both ends are notified when the connection between two instances closes")
{
    checkRoundTrip();
    b.network.close();
    runUntil(io, [&] { return a.handler.lostLinks.size() == 1 && b.handler.disconnectedPeers.size() == 1; });
    CHECK(a.handler.lostLinks[0] == b.hello.instance);
    CHECK(b.handler.disconnectedPeers[0] == a.hello.instance);

    SUBCASE("A message is returned as undelivered while the link can't connect")
    {
        a.network.send(b.hello.instance, RuleRequest { RuleRevision(1) });
        runUntil(io, [&] { return a.handler.undelivered.size() == 1; });
        CHECK(a.handler.undelivered[0].first == b.hello.instance);
        CHECK(std::get<RuleRequest>(a.handler.undelivered[0].second).haveRevision == RuleRevision(1));
        CHECK((a.handler.reasons[0] == UndeliveredReason::NoConnection));
        CHECK(a.handler.lostLinks.size() == 1);
    }
    SUBCASE("A message to an instance that is not in the view is returned as undelivered")
    {
        a.network.send(InstanceName("nobody"), RuleRequest {});
        runUntil(io, [&] { return a.handler.undelivered.size() == 1; });
        CHECK(a.handler.undelivered[0].first == InstanceName("nobody"));
    }
}

TEST_CASE_FIXTURE(PeersFixture, "A message counts from when it was written, however late it is read")
{
    const auto latestNews = [&] { return std::get<StoreNews>(b.handler.messages.back().second); };
    const auto sendNews = [&](Duration onTheWay) {
        const auto n = b.handler.messages.size();
        const auto written = a.counters->framesOut.load();
        a.network.send(b.hello.instance, StoreNews { "config/", { 1, 1 }, { 1, 1 }, {}, {}, clock->now() });
        while (a.counters->framesOut == written)
            io.run_one();
        clock->advance(onTheWay);
        runUntil(io, [&] { return b.handler.messages.size() == n + 1; });
        io.poll();
    };
    checkRoundTrip();
    sendNews(0s);
    CHECK(latestNews().currentAsOf <= clock->now());
    CHECK(latestNews().currentAsOf > clock->now() - 1ms);

    SUBCASE("once")
    {
        sendNews(6s);
        CHECK(latestNews().currentAsOf <= clock->now() - 6s);
    }
    SUBCASE("in a stream that goes one way only, whose reader asks for the clock")
    {
        const auto framesOfReader = b.counters->framesOut.load();
        for (int i = 0; i < 60; ++i) {
            sendNews(0s);
            CHECK(latestNews().currentAsOf > clock->now() - 25ms);
            clock->advance(1s);
        }
        runUntil(io, [&] { return b.counters->framesOut >= framesOfReader + 5; });
        CHECK(b.counters->framesOut <= framesOfReader + 6);
    }
}

// Guards against an instance that stays cut off from its peers for seconds because its own process lacked descriptors before.
TEST_CASE_FIXTURE(PeersFixture, "A link goes on with its attempts at the same pace while its process lacks descriptors")
{
    constexpr int manyAttempts = 15;
    int attempts = 0;
    const auto findRoute = [&] {
        ++attempts;
        return std::optional(PeerRoute { b.endpoint, std::nullopt });
    };
    const auto link = std::make_shared<PeerLink>(PeerContext { io, a.hello, clock, a.counters, testLimits(), std::nullopt }, b.hello.instance, findRoute, a.handler);
    bool isLate = false;
    boost::asio::steady_timer late(io, 5s);
    late.async_wait([&](const boost::system::error_code& ec) { isLate = !ec; });
    const auto sendOne = [&] {
        link->send(RuleRequest {});
        io.run_one_for(5ms);
    };
    {
        const NoFreeDescriptors none;
        while (attempts < manyAttempts && !isLate)
            sendOne();
        CHECK_FALSE(isLate);
        CHECK(b.handler.messages.empty());
        CHECK_FALSE(a.handler.undelivered.empty());
        CHECK(std::all_of(a.handler.reasons.begin(), a.handler.reasons.end(), [](auto it) { return it == UndeliveredReason::NoLocalResources; }));
    }
    while (b.handler.messages.empty() && !isLate)
        sendOne();
    CHECK_FALSE(b.handler.messages.empty());
    link->close();
    io.poll();
}

TEST_CASE_FIXTURE(PeersFixture, "An instance with another name at the peer's address receives no message")
{
    Instance wrong = b.instance();
    wrong.name = InstanceName("c");
    a.view.publish(MembershipView({ a.instance(), wrong }));
    a.network.send(wrong.name, RuleRequest {});
    runUntil(io, [&] { return a.handler.undelivered.size() == 1; });
    CHECK(b.handler.messages.empty());
}

TEST_CASE_FIXTURE(PeersFixture, "An invalid frame on the inner port closes its connection, is counted, and affects no peer")
{
    checkRoundTrip();
    RawCaller caller(io, b.endpoint);
    std::string bytes;

    SUBCASE("An HTTP request on the inner port is an invalid frame")
    {
        bytes = "GET / HTTP/1.1\r\n\r\n";
    }
    SUBCASE("A frame length above the limit is invalid")
    {
        bytes = std::string("\x7f\xff\xff\xff", 4);
    }
    SUBCASE("A frame length of zero is invalid")
    {
        bytes = std::string(4, '\0');
    }
    SUBCASE("A frame that can't be decoded is invalid")
    {
        bytes = std::string("\0\0\0\x05garba", 9);
    }
    SUBCASE("A message before the Hello is invalid")
    {
        bytes = encodeFrame(RuleRequest {}, TimePoint());
    }
    SUBCASE("A second Hello is invalid")
    {
        bytes = helloFrame("x") + helloFrame("x");
    }
    SUBCASE("An undecodable frame after a valid Hello is invalid")
    {
        bytes = helloFrame("x") + std::string("\0\0\0\x02zz", 6);
    }
    caller.send(bytes);
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(b.counters->badFrames == 1);
    CHECK(b.handler.messages.size() == 1);
    checkRoundTrip();
}

TEST_CASE_FIXTURE(PeersFixture, "The server closes a connection whose peer is overdue")
{
    checkRoundTrip();
    RawCaller caller(io, b.endpoint);

    SUBCASE("The server closes a connection without a Hello within the time-out")
    {
        runUntil(io, [&] { return !caller.received().empty(); });
        clock->advance(6s);
    }
    SUBCASE("The server closes a connection with an incomplete frame after the time-out")
    {
        caller.send(helloFrame("x") + std::string("\0\0\0\x40half", 8));
        runUntil(io, [&] { return b.counters->framesIn == 3; });
        clock->advance(11s);
    }
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(b.counters->timeouts == 1);
    checkRoundTrip();
}

// Guards against a process whose descriptors are all taken by connections that never send a Hello.
TEST_CASE_FIXTURE(PeersFixture, "Of many connections without a Hello the oldest are closed at once, and peers still connect")
{
    constexpr std::size_t opened = 200;
    constexpr std::size_t mostOpen = 64; // A sixteenth of the descriptors.
    const DescriptorLimit limit(1024);
    std::vector<std::unique_ptr<RawCaller>> silent;
    for (std::size_t i = 0; i < opened; ++i)
        silent.push_back(std::make_unique<RawCaller>(io, b.endpoint));
    const auto isClosed = [](const auto& it) { return it->isClosed(); };
    bool isLate = false;
    boost::asio::steady_timer late(io, 5s);
    late.async_wait([&](const boost::system::error_code& ec) { isLate = !ec; });
    runUntil(io, [&] { return isLate || std::all_of(silent.begin(), silent.begin() + (opened - mostOpen), isClosed); });
    CHECK_FALSE(isLate);
    CHECK_FALSE(silent.back()->isClosed());
    checkRoundTrip();
}

TEST_CASE_FIXTURE(PeersFixture, "A new connection from a peer replaces the old one")
{
    RawCaller first(io, b.endpoint);
    first.send(helloFrame("x"));
    runUntil(io, [&] { return b.counters->framesIn == 1; });
    RawCaller second(io, b.endpoint);
    second.send(helloFrame("x"));
    runUntil(io, [&] { return first.isClosed(); });
    CHECK(b.handler.disconnectedPeers == std::vector { InstanceName("x") });
    CHECK_FALSE(second.isClosed());
    second.close();
    runUntil(io, [&] { return b.handler.disconnectedPeers.size() == 2; });
    CHECK(b.handler.disconnectedPeers.back() == InstanceName("x"));
}

TEST_SUITE_END();
