#include "wire_servers.h"

#include "gateway/server_connections.h"
#include "http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <doctest/doctest.h>

#include <sys/resource.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// A server that refuses every request as not run, because it is full or because the request names another server.
class RefusingHandler final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        ++requests;
        HttpResponse response { isOtherServer ? 421U : 503U, "", "" };
        if (!isOtherServer)
            response.headers.add("Lycheefield-Not-Executed", "1");
        response.headers.add("Lycheefield-Attempt-Id", std::string(request.headers.find("Lycheefield-Attempt-Id")));
        response.headers.add("Keep-Alive", "timeout=60");
        exchange->respond(std::move(response));
    }

    int requests = 0;
    bool isOtherServer = false;
};

struct ConnectionsFixture final : ServerRequestEvents {
    ConnectionsFixture()
        : server(io, handler, clock, counters)
        , connections(boost::asio::make_strand(io), *clock, protocol, *this, metrics, maxConnections)
    {
        entry.name = ServerName("i-1");
        entry.endpoint = server.listen({ "127.0.0.1", 0 }).value();
    }

    void onResponse(ServerRequestId, const ServerResponse& response) override
    {
        CHECK((response.kind == (handler.isOtherServer ? ServerResponseKind::WrongServer : ServerResponseKind::NotRun)));
        ++responses;
    }
    void onChecked(const ServerName& name, ServerCheck check) override
    {
        CHECK(name == entry.name);
        checks.push_back(check);
    }
    void onFailed(ServerRequestId, ServerRequestFailure failure) override
    {
        REQUIRE_MESSAGE(isWithdrawn, "the server answers every request that is not withdrawn");
        failures.push_back(failure);
    }

    /// Sends the attempt and waits for its refusal. Returns the number of connections that the server has accepted so far.
    std::uint64_t connectionsAfter(const std::string& attemptId, bool isIdempotent)
    {
        const auto expected = responses + 1;
        const auto message = std::make_shared<const HttpRequest>(HttpRequest { "POST", "/o/1", { { "Host", "a" }, { "Lycheefield-Attempt-Id", attemptId } }, "" });
        connections.send({ ServerRequestId(static_cast<std::uint64_t>(expected)), entry, message, attemptId, clock->now() + 5s, isIdempotent });
        io.restart();
        while (responses < expected && io.run_one() > 0) { }
        return counters->connections;
    }

    static constexpr std::size_t maxConnections = 100;

    boost::asio::io_context io { 1 };
    std::shared_ptr<SteadyClock> clock = std::make_shared<SteadyClock>();
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    RefusingHandler handler;
    HttpServer server;
    WireServers protocol;
    Metrics metrics;
    ServerConnections connections;
    ServerEntry entry;
    int responses = 0;
    bool isWithdrawn = false;
    std::vector<ServerRequestFailure> failures;
    std::vector<ServerCheck> checks;
};

}

TEST_CASE("A refused attempt is sent again on another connection, where no late copy of its refusal can arrive" * doctest::test_suite("adapter"))
{
    for (int i = 0; i < 4; ++i) {
        const bool isIdempotent = i % 2 == 1;
        const bool isOtherServer = i / 2 == 1;
        CAPTURE(isIdempotent);
        CAPTURE(isOtherServer);
        ConnectionsFixture fixture;
        fixture.handler.isOtherServer = isOtherServer;
        CHECK(fixture.connectionsAfter("a", isIdempotent) == 1);
        CHECK(fixture.connectionsAfter("a", isIdempotent) == 2);
        CHECK(fixture.connectionsAfter("a", isIdempotent) == 3);

        SUBCASE("Other attempts use the connections that are open")
        {
            CHECK(fixture.connectionsAfter("b", isIdempotent) == 3);
            CHECK(fixture.connectionsAfter("b", isIdempotent) == 3);
            CHECK(fixture.connectionsAfter("c", isIdempotent) == 3);
        }
        SUBCASE("A connection that remembers many refusals is closed")
        {
            for (int i = 0; i < 100; ++i)
                fixture.connectionsAfter("x" + std::to_string(i), isIdempotent);
            CHECK(fixture.counters->connections.load() == 4);
        }
    }
}

TEST_CASE("A request whose connection is still opening when its zone is drained is never sent" * doctest::test_suite("adapter"))
{
    ConnectionsFixture fixture;
    fixture.entry.zone = ZoneName("b");
    const auto message = std::make_shared<const HttpRequest>(HttpRequest { "GET", "/l/1", { { "Host", "a" }, { "Lycheefield-Attempt-Id", "id" } }, "" });
    fixture.connections.send({ ServerRequestId(1), fixture.entry, message, "id", fixture.clock->now() + 5s, true });

    SUBCASE("It ends as not connected, so that it may go to another zone")
    {
        fixture.isWithdrawn = true;
        fixture.connections.withdrawUnsent({ ZoneName("b") });
        CHECK(fixture.connections.count() == 0);
        while (fixture.failures.empty() && fixture.io.run_one() > 0) { }
        CHECK((fixture.failures == std::vector { ServerRequestFailure::Withdrawn }));
        fixture.io.run_for(50ms);
        CHECK(fixture.handler.requests == 0);
        CHECK(fixture.responses == 0);
    }
    SUBCASE("Requests to other zones go on")
    {
        fixture.connections.withdrawUnsent({ ZoneName("a"), ZoneName("c") });
        while (fixture.responses == 0 && fixture.io.run_one() > 0) { }
        CHECK(fixture.handler.requests == 1);
    }
}

TEST_CASE("A check tells whether a server accepts connections" * doctest::test_suite("adapter"))
{
    ConnectionsFixture fixture;
    const auto runCheck = [&](bool mayUseOpenConnection = false) {
        fixture.checks.clear();
        fixture.connections.check({ fixture.entry, mayUseOpenConnection });
        fixture.io.restart();
        while (fixture.checks.empty() && fixture.io.run_one() > 0) { }
    };

    SUBCASE("The connection to a running server stays open for the next request")
    {
        runCheck();
        CHECK((fixture.checks == std::vector { ServerCheck::Running }));
        CHECK(fixture.connections.count() == 1);
    }
    SUBCASE("A server that has ended refuses the connection")
    {
        fixture.server.close();
        fixture.io.poll();
        runCheck();
        CHECK((fixture.checks == std::vector { ServerCheck::Ended }));
        CHECK(fixture.connections.count() == 0);
    }
    SUBCASE("A process without free descriptors learns nothing about the server")
    {
        fixture.io.poll();
        rlimit descriptors {};
        REQUIRE(getrlimit(RLIMIT_NOFILE, &descriptors) == 0);
        const rlimit none { 0, descriptors.rlim_max };
        REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
        runCheck();
        REQUIRE(setrlimit(RLIMIT_NOFILE, &descriptors) == 0);
        CHECK((fixture.checks == std::vector { ServerCheck::NotMade }));
    }
    SUBCASE("An idle connection answers a check that may use it, until its server has ended")
    {
        fixture.connectionsAfter("a1", true);
        runCheck(true);
        CHECK((fixture.checks == std::vector { ServerCheck::Running }));
        CHECK(fixture.counters->connections == 1);
        fixture.server.close();
        fixture.io.poll();
        runCheck(true);
        CHECK((fixture.checks == std::vector { ServerCheck::Ended }));
    }
}

}
