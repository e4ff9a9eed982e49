#include "wire/frame_codec.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

template <typename Message>
Message sendOverWire(const Message& message, TimePoint sent, TimePoint received)
{
    const auto frame = encodeFrame(message, sent);
    return std::get<Message>(decodeFrame(std::string_view(frame).substr(frameHeaderBytes), received).value());
}

}

TEST_SUITE_BEGIN("wire");

TEST_CASE("Claim calls and replies decode to what was encoded")
{
    const TimePoint sent { std::chrono::seconds(5) };
    const TimePoint received { std::chrono::seconds(900) };
    ClaimCall call;
    call.request = { { ProcessLife(~0ULL), 7 }, IdempotencyKey(std::string("k\0\xff", 3)), Fingerprint(1ULL << 63), sent + std::chrono::milliseconds(80) };

    SUBCASE("A claim's deadline is converted to the clock of the receiver")
    {
        auto expected = call;
        expected.request.deadline = received + std::chrono::milliseconds(80);
        CHECK((sendOverWire(call, sent, received) == expected));
    }
    SUBCASE("An outcome sent after the deadline arrives with no time left")
    {
        call.settledAs = RunState::Ran;
        call.answer = "{\"màu\":\"đỏ\"}";
        call.request.deadline = sent - std::chrono::seconds(1);
        auto expected = call;
        expected.request.deadline = received;
        CHECK((sendOverWire(call, sent, received) == expected));
    }
    SUBCASE("A reply carries the recorded state and answer")
    {
        const ClaimReply reply { { call.request.request, ClaimVerdict::AlreadyDone, RunState::Ran, "{}" }, false };
        CHECK((sendOverWire(reply, sent, received) == reply));
    }
    SUBCASE("A reply confirms a recorded outcome")
    {
        const ClaimReply reply { { call.request.request, ClaimVerdict::Granted, RunState::Unknown, {} }, true };
        CHECK((sendOverWire(reply, sent, received) == reply));
    }
}

TEST_SUITE_END();

}
