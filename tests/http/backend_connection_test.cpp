#include "base/clock.h"
#include "http/backend_connection.h"
#include "support/no_free_descriptors.h"
#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <doctest/doctest.h>

#include <optional>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Records what a relay learns of one backend server.
struct RecordedBackendEvents final : BackendEvents {
    void onBackendConnected(const ServerName&, ConnectionId) override { isConnected = true; }
    void onBackendResponse(const ServerName&, ConnectionId, const LegResponse& it) override { response = it; }
    void onBackendDisconnected(const ServerName&, ConnectionId, bool wereBytesWritten) override { disconnected = wereBytesWritten; }
    void onBackendNotOpened(const ServerName&, ConnectionId) override { wasNotOpened = true; }
    void onBackendHealth(const ServerName&, const HealthReport& it) override { health = it; }

    bool isConnected = false;
    std::optional<LegResponse> response;
    std::optional<bool> disconnected; ///< Whether bytes were written before.
    bool wasNotOpened = false;
    std::optional<HealthReport> health;
};

struct BackendFixture {
    explicit BackendFixture(const ServerScript& script)
        : standin(io, script)
    {
        server.name = ServerName("s1");
        server.endpoint = standin.endpoint();
    }

    /// Runs one leg, until its response has come or its connection has ended.
    void runLeg()
    {
        const auto connection = connector->open(boost::asio::make_strand(io), server, ConnectionId(1), events);
        runUntil(io, [&] { return events->isConnected; });
        WorkOrder work;
        work.legs.emplace_back();
        connection->run(work, SteadyClock().now());
        runUntil(io, [&] { return events->response || events->disconnected; });
        connection->close();
    }

    /// Asks for the server's health once and runs until the response is taken as a report, or ends the connection, after which
    /// the next one is opened.
    void pollHealth()
    {
        const auto control = connector->openControl(boost::asio::make_strand(io), server, events);
        control->pollHealth();
        runUntil(io, [&] { return events->health || standin.connections() == 2; });
        control->close();
    }

    boost::asio::io_context io { 1 };
    ScriptedServer standin;
    Server server;
    std::shared_ptr<RecordedBackendEvents> events = std::make_shared<RecordedBackendEvents>();
    std::unique_ptr<BackendConnector> connector = makeHttpBackendConnector();
};

const std::string legFields = "X-Index-Version: 3\r\nX-Partition-Epoch: 1\r\n";
const std::string healthBody = R"({"busy":1,"draining":false,"versions":[3]})";
const std::string soundHealth = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(healthBody.size()) + "\r\n\r\n" + healthBody;

}

TEST_SUITE_BEGIN("http");

// Guards against a proof that a leg did not run, or a result, in bytes that are no answer.
TEST_CASE("A relay takes nothing from a server's bytes that are no answer")
{
    const auto responseOf = [](const std::string& status, const std::string& fields) { return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n{}"; };
    const std::vector<std::string> responses {
        responseOf("000 None", legFields),
        responseOf("999 Other", legFields),
        responseOf("101 Switching Protocols", legFields),
        responseOf("100 Continue", legFields),
        responseOf("703 Other", "X-Reason: shed\r\n"),
        responseOf("200 OK", legFields + "Transfer-Encoding: gzip\r\n"),
        responseOf("200 OK", legFields + "A b: c\r\n"),
    };
    for (const auto& it : responses) {
        CAPTURE(it);
        BackendFixture fixture({ it, "", true });
        fixture.runLeg();
        CHECK_FALSE(fixture.events->response);
        CHECK(fixture.events->disconnected == true);
    }
}

TEST_CASE("A relay reads the result behind an interim response")
{
    BackendFixture fixture({ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + legFields + "Content-Length: 2\r\n\r\n{}" });
    fixture.runLeg();
    REQUIRE(fixture.events->response);
    CHECK((fixture.events->response->outcome == LegOutcome::Ok));
    CHECK(fixture.events->response->body == "{}");
}

TEST_CASE("A relay believes a health report only in a response that is one")
{
    SUBCASE("a sound one")
    {
        BackendFixture fixture({ soundHealth });
        fixture.pollHealth();
        REQUIRE(fixture.events->health);
        CHECK(fixture.events->health->busySlots == 1);
    }
    SUBCASE("behind an interim response")
    {
        BackendFixture fixture({ "HTTP/1.1 103 Early Hints\r\n\r\n" + soundHealth });
        fixture.pollHealth();
        CHECK(fixture.events->health);
    }
    SUBCASE("not with a status that is none, or in an unknown coding")
    {
        for (std::string response : { "HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 600 Other\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n" }) {
            CAPTURE(response);
            response += healthBody;
            BackendFixture fixture({ response, "", true });
            fixture.pollHealth();
            CHECK_FALSE(fixture.events->health);
        }
    }
}

// Guards against a relay that is blind for seconds because its own process lacked descriptors before.
TEST_CASE("However long a relay lacked descriptors, it asks for a server's health soon after one is free")
{
    BackendFixture fixture({ soundHealth });
    std::shared_ptr<BackendControl> control;
    {
        const NoFreeDescriptors none;
        control = fixture.connector->openControl(boost::asio::make_strand(fixture.io), fixture.server, fixture.events);
        control->pollHealth();
        fixture.io.run_for(800ms);
    }
    CHECK(fixture.standin.connections() == 0);
    bool isLate = false;
    boost::asio::steady_timer late(fixture.io, 500ms);
    late.async_wait([&](const boost::system::error_code& ec) { isLate = !ec; });
    runUntil(fixture.io, [&] { return fixture.events->health || isLate; });
    CHECK_FALSE(isLate);
    control->close();
}

TEST_SUITE_END();

}
