#include "platform/engine_run.h"

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

TEST_CASE("The log tells why calls to the store fail, once for each reason, and when they succeed again")
{
    EngineRun run({}, batchOf({ 1, 10 }));
    const auto failWith = [&](const std::string& why) {
        run.advance(10s);
        auto failed = failure(StoreStatus::Unavailable, 0);
        failed.why = why;
        run.respond(failed);
    };
    const auto fieldOf = [&](std::string_view name) {
        const auto& fields = run.logged.back().fields;
        const auto it = std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return field.first == name; });
        return it == fields.end() ? std::string() : it->second;
    };

    failWith("connect: timed out");
    REQUIRE(run.logged.size() == 1);
    CHECK(fieldOf("why") == "connect: timed out");
    CHECK(fieldOf("objects") == "servers/");

    SUBCASE("The same reason again is no news")
    {
        failWith("connect: timed out");
        CHECK(run.logged.size() == 1);
    }
    SUBCASE("Another reason is")
    {
        failWith("connect: Too many open files");
        REQUIRE(run.logged.size() == 2);
        CHECK(fieldOf("why") == "connect: Too many open files");
        CHECK(fieldOf("failures") == "2");
    }
    SUBCASE("Two reasons in turn are told once each")
    {
        for (int i = 0; i < 10; ++i) {
            failWith("calls pause after failures in a row");
            failWith("connect: timed out");
        }
        CHECK(run.logged.size() == 2);
    }
    SUBCASE("Reasons that differ each time are told a few times")
    {
        for (int i = 0; i < 100; ++i)
            failWith("malformed response " + std::to_string(i));
        CHECK(run.logged.size() > 4);
        CHECK(run.logged.size() < 20);
    }
    SUBCASE("A response ends the series")
    {
        failWith("status 503");
        run.advance(10s);
        run.respond(batchOf({ 1, 10 }));
        REQUIRE(run.logged.size() == 3);
        CHECK(run.logged.back().event == "calls to the store succeed again");
        CHECK(fieldOf("failures") == "2");
        run.advance(10s);
        run.respond(batchOf({ 1, 10 }));
        CHECK(run.logged.size() == 3);
        failWith("status 503");
        CHECK(run.logged.size() == 4);
    }
}

TEST_SUITE_END();

}
