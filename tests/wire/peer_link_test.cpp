#include "support/raw_caller.h"
#include "support/virtual_clock.h"
#include "wire/asio_peer_network.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

/// Writes down what a process hears of its peers.
class HeardFromPeers final : public PeerHandler {
public:
    void onPeerMessage(const Hello& from, PeerMessage message) override { messages.emplace_back(from.instance, std::move(message)); }
    void onLinkLost(const InstanceName& peer) override { lost.push_back(peer); }
    void onUndelivered(const InstanceName& to, PeerMessage message) override { undelivered.emplace_back(to, std::move(message)); }
    void onPeerGone(const InstanceName& peer) override { gone.push_back(peer); }

    std::vector<std::pair<InstanceName, PeerMessage>> messages;
    std::vector<InstanceName> lost;
    std::vector<std::pair<InstanceName, PeerMessage>> undelivered;
    std::vector<InstanceName> gone;
};

FrameSessionLimits testLimits()
{
    FrameSessionLimits limits;
    limits.frame.maxFrameBytes = 64 * 1024;
    limits.checkInterval = 1ms;
    return limits;
}

/// One instance's end of the inner protocol.
struct Node {
    Node(boost::asio::io_context& io, std::shared_ptr<const Clock> clock, const std::string& name, std::uint64_t life)
        : hello { InstanceName(name), ProcessLife(life), ZoneName("ikeja-a") }
        , network({ io, hello, std::move(clock), counters, testLimits(), std::nullopt }, view, heard)
        , endpoint(network.listen({ "127.0.0.1", 0 }).value())
    {
    }

    Instance instance() const { return { hello.instance, hello.life, endpoint, {}, hello.zone, InstanceHealth::Alive }; }

    Hello hello;
    Snapshot<MembershipView> view;
    HeardFromPeers heard;
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

    /// A message travels from a to b and another back on the same connection.
    void mustWork()
    {
        const auto n = b.heard.messages.size();
        const auto m = a.heard.messages.size();
        a.network.send(b.hello.instance, Control { n, "ping", "", false, "" });
        runUntil(io, [&] { return b.heard.messages.size() == n + 1; });
        CHECK(b.heard.messages.back().first == a.hello.instance);
        b.network.reply(a.hello.instance, Control { n, "", "", true, "pong" });
        runUntil(io, [&] { return a.heard.messages.size() == m + 1; });
        CHECK(std::get<Control>(a.heard.messages.back().second).payload == "pong");
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

TEST_CASE_FIXTURE(PeersFixture, "instances exchange messages over one connection each way")
{
    mustWork();
    CHECK(a.counters->framesOut == 2);
    CHECK(b.counters->framesIn == 2);

    SUBCASE("many messages arrive in order")
    {
        for (std::uint64_t i = 0; i < 1000; ++i)
            a.network.send(b.hello.instance, RuleRequest { RuleRevision(i) });
        runUntil(io, [&] { return b.heard.messages.size() == 1001; });
        bool isInOrder = true;
        for (std::uint64_t i = 0; i < 1000; ++i)
            isInOrder = isInOrder && std::get<RuleRequest>(b.heard.messages[i + 1].second).haveRevision == RuleRevision(i);
        CHECK(isInOrder);
    }
    SUBCASE("a message to all reaches the others only")
    {
        a.network.broadcast(RuleRequest { RuleRevision(1) });
        runUntil(io, [&] { return b.heard.messages.size() == 2; });
        CHECK(a.heard.messages.size() == 1);
    }
}

TEST_CASE_FIXTURE(PeersFixture, "a broken connection is told to both ends and opened again on demand")
{
    mustWork();
    b.network.close();
    runUntil(io, [&] { return a.heard.lost.size() == 1 && b.heard.gone.size() == 1; });
    CHECK(a.heard.lost[0] == b.hello.instance);
    CHECK(b.heard.gone[0] == a.hello.instance);

    SUBCASE("what is sent while it can't be opened comes back as undelivered")
    {
        a.network.send(b.hello.instance, RuleRequest { RuleRevision(1) });
        runUntil(io, [&] { return a.heard.undelivered.size() == 1; });
        CHECK(a.heard.undelivered[0].first == b.hello.instance);
        CHECK(std::get<RuleRequest>(a.heard.undelivered[0].second).haveRevision == RuleRevision(1));
        CHECK(a.heard.lost.size() == 1);
    }
    SUBCASE("an instance that nobody knows can't be reached")
    {
        a.network.send(InstanceName("nobody"), RuleRequest {});
        runUntil(io, [&] { return a.heard.undelivered.size() == 1; });
        CHECK(a.heard.undelivered[0].first == InstanceName("nobody"));
    }
}

TEST_CASE_FIXTURE(PeersFixture, "another instance at the peer's address gets no message")
{
    Instance wrong = b.instance();
    wrong.name = InstanceName("c");
    a.view.publish(MembershipView({ a.instance(), wrong }));
    a.network.send(wrong.name, RuleRequest {});
    runUntil(io, [&] { return a.heard.undelivered.size() == 1; });
    CHECK(b.heard.messages.empty());
}

TEST_CASE_FIXTURE(PeersFixture, "garbage on the inner port closes its connection, is counted, and harms no peer")
{
    mustWork();
    RawCaller caller(io, b.endpoint);
    std::string bytes;

    SUBCASE("an HTTP request")
    {
        bytes = "GET / HTTP/1.1\r\n\r\n";
    }
    SUBCASE("a length above the limit")
    {
        bytes = std::string("\x7f\xff\xff\xff", 4);
    }
    SUBCASE("a length of zero")
    {
        bytes = std::string(4, '\0');
    }
    SUBCASE("a frame that can't be read")
    {
        bytes = std::string("\0\0\0\x05garba", 9);
    }
    SUBCASE("a message before the hello")
    {
        bytes = encodeFrame(RuleRequest {}, TimePoint());
    }
    SUBCASE("two hellos")
    {
        bytes = helloFrame("x") + helloFrame("x");
    }
    SUBCASE("garbage after a good hello")
    {
        bytes = helloFrame("x") + std::string("\0\0\0\x02zz", 6);
    }
    caller.send(bytes);
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(b.counters->badFrames == 1);
    CHECK(b.heard.messages.size() == 1);
    mustWork();
}

TEST_CASE_FIXTURE(PeersFixture, "a peer that stops in the middle is closed in time")
{
    mustWork();
    RawCaller caller(io, b.endpoint);

    SUBCASE("before its hello")
    {
        runUntil(io, [&] { return !caller.received().empty(); });
        clock->advance(6s);
    }
    SUBCASE("in the middle of a frame")
    {
        caller.send(helloFrame("x") + std::string("\0\0\0\x40half", 8));
        runUntil(io, [&] { return b.counters->framesIn == 3; });
        clock->advance(11s);
    }
    runUntil(io, [&] { return caller.isClosed(); });
    CHECK(b.counters->timeouts == 1);
    mustWork();
}

TEST_CASE_FIXTURE(PeersFixture, "a peer's new connection takes the place of the old one")
{
    RawCaller first(io, b.endpoint);
    first.send(helloFrame("x"));
    runUntil(io, [&] { return b.counters->framesIn == 1; });
    RawCaller second(io, b.endpoint);
    second.send(helloFrame("x"));
    runUntil(io, [&] { return first.isClosed(); });
    CHECK(b.heard.gone == std::vector { InstanceName("x") });
    CHECK_FALSE(second.isClosed());
    second.close();
    runUntil(io, [&] { return b.heard.gone.size() == 2; });
    CHECK(b.heard.gone.back() == InstanceName("x"));
}

TEST_SUITE_END();
