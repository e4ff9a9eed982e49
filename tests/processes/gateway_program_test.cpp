#include "program_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

using namespace lycheefield;
using namespace std::chrono_literals;

namespace {

/// Listens on the endpoint, as another program does.
boost::asio::ip::tcp::acceptor occupy(boost::asio::io_context& io, const Endpoint& endpoint)
{
    return { io, { boost::asio::ip::make_address(endpoint.address), endpoint.port } };
}

}

TEST_SUITE_BEGIN("processes");

// Guards against a process that ends because another one has one of its ports.
TEST_CASE("A gateway whose port is in use goes on and opens the port once it is free")
{
    ProgramFixture fixture;

    SUBCASE("The metrics port: the gateway serves without it")
    {
        auto other = occupy(fixture.io, { "127.0.0.1", 0 });
        const auto port = other.local_endpoint().port();
        auto process = fixture.makeProcess("g1", { .settings = "[gateway]\nmetrics_port = " + std::to_string(port) + "\n" });
        process.start();
        CHECK(fixture.becomesReady(process));
        CHECK(process.log().find("\"port\":\"metrics\"") != std::string::npos);
        other.close();
        CHECK(fixture.waitUntil([&] { return process.log().find("port open") != std::string::npos; }));
        process.signal(SIGTERM);
        CHECK(fixture.exitOf(process) == 0);
    }
    SUBCASE("The callers' port: the gateway is not ready before")
    {
        auto process = fixture.makeProcess("g1");
        auto other = occupy(fixture.io, process.callers());
        process.start();
        CHECK(fixture.waitUntil([&] { return fixture.readiness(process) == 503; }));
        fixture.runFor(startTime);
        CHECK(fixture.readiness(process) == 503);
        CHECK_FALSE(process.takeExitStatus());
        other.close();
        CHECK(fixture.becomesReady(process));
        process.signal(SIGTERM);
        CHECK(fixture.exitOf(process) == 0);
    }
    SUBCASE("All ports, which the previous process keeps during its planned stop")
    {
        auto first = fixture.makeProcess("g1");
        first.start();
        REQUIRE(fixture.becomesReady(first));
        first.signal(SIGTERM);
        SUBCASE("At once") { first.startBesidePrevious(); }
        SUBCASE("Although it was paused when the next process started")
        {
            first.signal(SIGSTOP);
            first.startBesidePrevious();
            first.resume();
        }
        fixture.runFor(startTime);
        CHECK_FALSE(first.takeExitStatus());
        std::optional<int> status;
        CHECK(fixture.waitUntil([&] { return (status = first.takePreviousExitStatus()).has_value(); }));
        CHECK(status == 0);
        CHECK(fixture.becomesReady(first));
        first.signal(SIGTERM);
        CHECK(fixture.exitOf(first) == 0);
    }
}

TEST_CASE("A process that can't go on says why in its last line")
{
    ProgramFixture fixture;
    std::string expected;
    std::string settings;
    SUBCASE("A setting that is not allowed")
    {
        settings = "[drain]\nlimit = many\n";
        expected = "drain.limit: 'many' is not allowed";
    }
    SUBCASE("A key that does not exist")
    {
        settings = "[gateway]\nno_such_key = 1\n";
        expected = "gateway.no_such_key: this key does not exist";
    }
    auto process = fixture.makeProcess("g1", { .settings = settings });
    process.start();
    CHECK(fixture.exitOf(process) == 2);
    const auto log = process.log();
    CHECK(std::count(log.begin(), log.end(), '\n') == 1);
    CHECK(log.find("{\"event\":\"ended\",\"why\":") == 0);
    CHECK(log.find(expected) != std::string::npos);
}

// Guards against a signal's default action, which ends the process while it starts.
TEST_CASE("Signals that arrive before their handlers are set are delivered afterwards")
{
    ProgramFixture fixture;
    auto process = fixture.makeProcess("g1", { .readsSettingsFromPipe = true });
    process.start();
    // The program holds the signals back from its first statement on; here it waits for its settings.
    CHECK(fixture.waitUntil([&] { return process.holdsOrCatchesSignals(); }));
    process.signal(SIGHUP);
    process.signal(SIGTERM);
    fixture.runFor(50ms);
    REQUIRE_FALSE(process.takeExitStatus());
    process.writeSettings();
    CHECK(fixture.exitOf(process) == 0);
    CHECK(process.log().find("\"why\":\"SIGTERM\"") != std::string::npos);
}

// Guards against log lines in a caller's connection, which gets the number of a closed stream.
TEST_CASE("Without standard streams a gateway opens none of its sockets under their numbers")
{
    ProgramFixture fixture;
    auto process = fixture.makeProcess("g1", { .hasClosedStreams = true });
    process.start();
    CHECK(fixture.becomesReady(process));
    for (const int it : { 0, 1, 2 }) {
        const auto descriptor = "/proc/" + std::to_string(process.pid()) + "/fd/" + std::to_string(it);
        CHECK(std::filesystem::read_symlink(descriptor) == "/dev/null");
    }
    process.signal(SIGTERM);
    CHECK(fixture.exitOf(process) == 0);
}

// Guards against a gateway that ends, or no longer answers, because callers have all descriptors.
TEST_CASE("With more connections than descriptors a gateway goes on and answers readiness checks")
{
    ProgramFixture fixture;
    auto process = fixture.makeProcess("g1", { .maxDescriptors = 64 });
    process.start();
    REQUIRE(fixture.becomesReady(process));
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int i = 0; i < 200; ++i) {
        callers.emplace_back(fixture.io);
        callers.back().connect({ boost::asio::ip::make_address(process.callers().address), process.callers().port });
    }
    CHECK(fixture.becomesReady(process));
    callers.clear();
    process.signal(SIGTERM);
    CHECK(fixture.exitOf(process) == 0);
}

TEST_SUITE_END();
