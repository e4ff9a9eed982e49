#include "wire/frame_codec.h"

#include <doctest/doctest.h>

#include <limits>

namespace lycheefield {

namespace {

const TimePoint now(Duration(5));

GossipMessage fullMessage()
{
    GossipMessage message;
    message.sequence = 7;
    message.isAnswer = true;
    message.ruleRevision = RuleRevision(12);
    message.probeTarget = InstanceName("ikeja-a-3");
    MemberDigest known { InstanceName("ikeja-a-1"), ProcessLife(std::numeric_limits<std::uint64_t>::max()), 3, InstanceHealth::Suspect, {} };
    MemberDigest joined { InstanceName("ikeja-a-2"), ProcessLife(5), 1, InstanceHealth::Alive,
        MemberAddress { { "10.0.0.1", 7001 }, { "10.0.0.1", 8001 }, ZoneName("ikeja-a") } };
    MemberDigest split = joined;
    split.address->http.address = "10.9.0.1";
    message.digests = { known, joined, split };
    return message;
}

PeerMessage roundTrip(const PeerMessage& message)
{
    const auto frame = encodeFrame(message, now);
    auto decoded = decodeFrame(std::string_view(frame).substr(frameHeaderBytes), now);
    REQUIRE(decoded);
    return decoded.value();
}

bool isRefused(const PeerMessage& message)
{
    const auto frame = encodeFrame(message, now);
    return !decodeFrame(std::string_view(frame).substr(frameHeaderBytes), now);
}

}

TEST_CASE("Membership and rule messages decode to what was encoded" * doctest::test_suite("wire"))
{
    SUBCASE("A gossip message with digests decodes to what was encoded")
    {
        const auto message = fullMessage();
        CHECK(std::get<GossipMessage>(roundTrip(message)) == message);
    }
    SUBCASE("An empty gossip message decodes to what was encoded")
    {
        CHECK(std::get<GossipMessage>(roundTrip(GossipMessage())) == GossipMessage());
    }
    SUBCASE("A rule delta decodes to what was encoded")
    {
        const auto delta = makeRuleDelta(RuleRevision(3), "one\ntwo\n", RuleRevision(4), "one\nthree\nfour\n");
        CHECK(std::get<RuleDelta>(roundTrip(delta)) == delta);
    }
}

TEST_CASE("The decoder rejects gossip and rule deltas with values out of range" * doctest::test_suite("wire"))
{
    auto message = fullMessage();
    RuleDelta delta;
    delta.revision = RuleRevision(1);
    SUBCASE("A digest without a name is rejected")
    {
        message.digests[0].name = InstanceName();
        CHECK(isRefused(message));
    }
    SUBCASE("A digest with an unknown health is rejected")
    {
        message.digests[0].health = static_cast<InstanceHealth>(9);
        CHECK(isRefused(message));
    }
    SUBCASE("A gossip message with too many digests is rejected")
    {
        message.digests.resize(300, message.digests[0]);
        CHECK(isRefused(message));
    }
    SUBCASE("A rule delta with a negative line number or revision 0 is rejected")
    {
        CHECK_FALSE(isRefused(delta));
        delta.removedLines = { std::numeric_limits<std::uint32_t>::max() };
        CHECK(isRefused(delta));
        CHECK(isRefused(RuleDelta()));
    }
}

}
