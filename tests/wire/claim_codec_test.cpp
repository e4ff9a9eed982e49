#include "wire/frame_codec.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

template <typename Message>
Message throughTheWire(const Message& message, TimePoint sent, TimePoint received)
{
    const auto frame = encodeFrame(message, sent);
    return std::get<Message>(decodeFrame(std::string_view(frame).substr(frameHeaderBytes), received).value());
}

}

TEST_SUITE_BEGIN("wire");

TEST_CASE("Claims and their answers cross the wire")
{
    const TimePoint sent { std::chrono::seconds(5) };
    const TimePoint received { std::chrono::seconds(900) };
    ClaimCall call;
    call.request = { { ProcessLife(~0ULL), 7 }, IdempotencyKey(std::string("k\0\xff", 3)), Fingerprint(1ULL << 63), sent + std::chrono::milliseconds(80) };

    SUBCASE("a claim, whose deadline becomes the receiver's")
    {
        auto expected = call;
        expected.request.deadline = received + std::chrono::milliseconds(80);
        CHECK((throughTheWire(call, sent, received) == expected));
    }
    SUBCASE("an outcome, after the deadline")
    {
        call.settledAs = RunState::Ran;
        call.answer = "{\"màu\":\"đỏ\"}";
        call.request.deadline = sent - std::chrono::seconds(1);
        auto expected = call;
        expected.request.deadline = received;
        CHECK((throughTheWire(call, sent, received) == expected));
    }
    SUBCASE("an answer with what was recorded")
    {
        const ClaimReply reply { { call.request.request, ClaimVerdict::AlreadyDone, RunState::Ran, "{}" }, false };
        CHECK((throughTheWire(reply, sent, received) == reply));
    }
    SUBCASE("a confirmation")
    {
        const ClaimReply reply { { call.request.request, ClaimVerdict::Granted, RunState::Unknown, {} }, true };
        CHECK((throughTheWire(reply, sent, received) == reply));
    }
}

TEST_SUITE_END();

}
