#include "platform/backoff.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

TEST_CASE("Backoff doubles the delay up to its limit, with jitter, and starts over after a success")
{
    Backoff backoff(10ms, 40ms, std::make_unique<SeededRandom>(3));
    for (const Duration longest : { 10ms, 20ms, 40ms, 40ms }) {
        const auto delay = backoff.onFailure();
        CHECK(delay >= longest / 2);
        CHECK(delay <= longest);
    }
    CHECK(backoff.failures() == 4);
    backoff.onSuccess();
    CHECK(backoff.onFailure() <= 10ms);
}

TEST_SUITE_END();

}
