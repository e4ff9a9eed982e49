#include "gateway/state_freshness.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_CASE("An instance knows when its state is no longer known to be current" * doctest::test_suite("gateway"))
{
    using Change = StateFreshness::Change;
    const TimePoint start { 100s };
    StateFreshness state(3s, start);

    SUBCASE("Without any proof the state is behind when the limit has passed since the start")
    {
        CHECK(state.review(start + 3s) == Change::None);
        CHECK(state.review(start + 3001ms) == Change::FellBehind);
        CHECK(state.age(start + 3001ms) == 3001ms);
    }
    SUBCASE("Proofs keep the state current, and their revision is known")
    {
        state.record({ start + 2s, { 1, 40 } });
        CHECK(state.review(start + 5s) == Change::None);
        CHECK(state.revision() == StoreRevision { 1, 40 });

        SUBCASE("The beginning and the end of a time without proof are told once each")
        {
            CHECK(state.review(start + 5100ms) == Change::FellBehind);
            CHECK(state.review(start + 9s) == Change::None);
            state.record({ start + 9s, { 1, 41 } });
            CHECK(state.review(start + 9s) == Change::CaughtUp);
            CHECK(state.review(start + 10s) == Change::None);
            CHECK(state.review(start + 12001ms) == Change::FellBehind);
        }
        SUBCASE("A steady stream of late messages proves a late state only")
        {
            for (auto now = start + 8s; now < start + 20s; now += 500ms) {
                state.record({ now - 6s, { 1, 50 } });
                CHECK(state.review(now) == (now == start + 8s ? Change::FellBehind : Change::None));
            }
        }
        SUBCASE("An older proof and one without a time take nothing back")
        {
            state.record({ start + 1s, { 1, 39 } });
            state.record({ {}, { 1, 42 } });
            CHECK(state.age(start + 3s) == 1s);
            CHECK(state.revision() == StoreRevision { 1, 42 });
        }
        SUBCASE("A lower revision of a later epoch is a later one")
        {
            state.record({ start + 3s, { 2, 7 } });
            CHECK(state.revision() == StoreRevision { 2, 7 });
        }
        SUBCASE("A proof that is later than the time of the caller has no age")
        {
            CHECK(state.age(start + 1s) == 0s);
        }
    }
}

}
