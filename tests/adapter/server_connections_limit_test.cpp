#include "wire_servers.h"

#include "gateway/server_connections.h"
#include "http/http_server.h"
#include "support/virtual_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxConnections = 2;

/// A server that answers a request when the test says so.
class HeldServer final : public HttpHandler {
public:
    HeldServer(boost::asio::io_context& io, const std::string& name)
        : m_server(io, *this, std::make_shared<SteadyClock>(), m_counters)
    {
        entry.name = ServerName(name);
        entry.service = ServiceName("x");
        entry.zone = ZoneName("a");
        entry.endpoint = m_server.listen({ "127.0.0.1", 0 }).value();
    }
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        received.emplace_back(request.headers.find("Lycheefield-Attempt-Id"));
        m_held.emplace_back(received.back(), std::move(exchange));
    }
    void answerFirst()
    {
        auto [id, exchange] = std::move(m_held.front());
        m_held.pop_front();
        HttpResponse response { 200, "", "body" };
        response.headers.add("Lycheefield-Attempt-Id", id);
        response.headers.add("Lycheefield-Response-Stamp", "stamp");
        response.headers.add("Keep-Alive", "timeout=60");
        exchange->respond(std::move(response));
    }
    std::uint64_t connections() const { return m_counters->connections; }

    ServerEntry entry;
    std::vector<std::string> received; ///< The attempts, in order.

private:
    std::deque<std::pair<std::string, std::shared_ptr<HttpExchange>>> m_held;
    std::shared_ptr<HttpServerCounters> m_counters = std::make_shared<HttpServerCounters>();
    HttpServer m_server;
};

struct LimitFixture final : ServerRequestEvents {
    LimitFixture()
        : first(io, "i-1")
        , second(io, "i-2")
        , third(io, "i-3")
        , connections(boost::asio::make_strand(io), clock, protocol, *this, metrics, maxConnections)
    {
    }

    void onResponse(ServerRequestId id, const ServerResponse&) override { answered.push_back(id.value()); }
    void onFailed(ServerRequestId id, ServerRequestFailure) override { failed.push_back(id.value()); }
    void onChecked(const ServerName& name, ServerCheck check) override { checks.emplace_back(name, check); }

    void send(std::uint64_t id, const HeldServer& server)
    {
        const auto attemptId = std::to_string(id);
        const auto message = std::make_shared<const HttpRequest>(HttpRequest { "GET", "/l/1", { { "Host", "a" }, { "Lycheefield-Attempt-Id", attemptId } }, "" });
        connections.send({ ServerRequestId(id), server.entry, message, attemptId, clock.now() + 5s, true });
    }
    template <typename Condition>
    bool becomesTrue(Condition condition)
    {
        io.restart();
        while (!condition()) {
            CHECK(connections.count() <= maxConnections);
            if (io.run_one_for(5s) == 0)
                return false;
        }
        return true;
    }
    bool hasReceived(const HeldServer& server, std::size_t requests)
    {
        return becomesTrue([&] { return server.received.size() == requests; });
    }
    bool hasAnswers(std::size_t n)
    {
        return becomesTrue([&] { return answered.size() == n; });
    }
    /// Runs what can run without a new event.
    void settle()
    {
        io.restart();
        while (io.run_one_for(20ms) > 0) { }
    }

    boost::asio::io_context io { 1 };
    VirtualClock clock;
    HeldServer first;
    HeldServer second;
    HeldServer third;
    WireServers protocol;
    Metrics metrics;
    ServerConnections connections;
    std::vector<std::uint64_t> answered;
    std::vector<std::uint64_t> failed;
    std::vector<std::pair<ServerName, ServerCheck>> checks;
};

}

// Guards against connections to servers that use up the descriptors of the process.
TEST_CASE("Connections to servers stay within their limit, and requests beyond it wait" * doctest::test_suite("adapter"))
{
    LimitFixture fixture;
    fixture.send(1, fixture.first);
    fixture.send(2, fixture.second);
    REQUIRE(fixture.hasReceived(fixture.first, 1));
    REQUIRE(fixture.hasReceived(fixture.second, 1));

    SUBCASE("An idle connection gives its place to one to another server")
    {
        fixture.second.answerFirst();
        REQUIRE(fixture.hasAnswers(1));
        fixture.send(3, fixture.third);
        CHECK(fixture.connections.waiting() == 0);
        CHECK(fixture.hasReceived(fixture.third, 1));
        CHECK(fixture.connections.count() == maxConnections);
    }
    SUBCASE("While none is idle")
    {
        fixture.send(3, fixture.third);
        fixture.send(4, fixture.second);
        fixture.settle();
        CHECK(fixture.connections.waiting() == 2);
        CHECK(fixture.third.received.empty());

        SUBCASE("A request goes on as soon as its own server has answered, on the same connection")
        {
            fixture.second.answerFirst();
            REQUIRE(fixture.hasReceived(fixture.second, 2));
            CHECK(fixture.second.connections() == 1);
            CHECK(fixture.connections.waiting() == 1);
            fixture.second.answerFirst();
            CHECK(fixture.hasReceived(fixture.third, 1));
            CHECK(fixture.connections.waiting() == 0);
            CHECK(fixture.failed.empty());
        }
        SUBCASE("A request that has waited for long is not overtaken")
        {
            fixture.clock.advance(101ms);
            fixture.second.answerFirst();
            REQUIRE(fixture.hasReceived(fixture.third, 1));
            CHECK(fixture.second.received.size() == 1);
        }
        SUBCASE("A request that is cancelled is never sent, and gives up its place")
        {
            fixture.connections.cancel(ServerRequestId(3));
            fixture.connections.cancel(ServerRequestId(1));
            REQUIRE(fixture.hasReceived(fixture.second, 2));
            fixture.settle();
            CHECK(fixture.third.received.empty());
            CHECK(fixture.connections.waiting() == 0);
            CHECK(fixture.connections.count() == maxConnections);
        }
        SUBCASE("A request to a zone that is drained meanwhile is withdrawn")
        {
            fixture.connections.withdrawUnsent({ ZoneName("a") });
            REQUIRE(fixture.becomesTrue([&] { return fixture.failed.size() == 2; }));
            CHECK(fixture.connections.waiting() == 0);
            CHECK(fixture.connections.count() == maxConnections);
        }
        SUBCASE("A request to a server that drains meanwhile is withdrawn")
        {
            fixture.connections.withdrawWaiting([&](const ServerName& name) { return name != fixture.third.entry.name; });
            REQUIRE(fixture.becomesTrue([&] { return fixture.failed.size() == 1; }));
            CHECK(fixture.failed.front() == 3);
            CHECK(fixture.connections.waiting() == 1);
            CHECK(fixture.connections.count() == maxConnections);
        }
        SUBCASE("A check goes first")
        {
            fixture.connections.check({ fixture.first.entry });
            fixture.settle();
            CHECK(fixture.checks.empty());
            fixture.second.answerFirst();
            REQUIRE(fixture.becomesTrue([&] { return fixture.checks.size() == 1; }));
            CHECK((fixture.checks.front().second == ServerCheck::Running));
        }
        SUBCASE("A response that is not needed any more is read without its body")
        {
            fixture.connections.discardResponse(ServerRequestId(4));
            fixture.second.answerFirst();
            REQUIRE(fixture.hasReceived(fixture.second, 2));
            fixture.second.answerFirst();
            CHECK(fixture.hasAnswers(2));
        }
    }
}

}
