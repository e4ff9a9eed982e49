#include "standin/backend_server.h"

#include <doctest/doctest.h>

namespace lycheefield::standin {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 7;

BackendServer readyServer()
{
    BackendServer server(ServerName("q0"), BackendBehaviour {}, seed);
    server.setIndex({ IndexVersion(3) }, { PartitionEpoch(1) }, { { ShardNumber(0), { BatchId("b0") } } });
    server.start(TimePoint(1ms));
    return server;
}

BackendRequest requestNumber(std::uint64_t n, const std::string& body)
{
    BackendRequest request;
    request.connection = n;
    request.key.request = RequestId { ProcessLife(1), n };
    request.version = IndexVersion(3);
    request.epoch = PartitionEpoch(1);
    request.body = body;
    return request;
}

}

TEST_CASE("A stand-in backend server runs, refuses, sheds and cancels requests" * doctest::test_suite("standin"))
{
    auto server = readyServer();
    std::vector<BackendResponse> out;
    const TimePoint now(10ms);

    SUBCASE("A successful response carries the batches of its shard")
    {
        server.receive(requestNumber(1, "x"), now, out);
        CHECK(out.empty());
        server.advance(now + 10s, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].status == 200);
        CHECK(out[0].batches == std::vector { BatchId("b0") });
    }
    SUBCASE("The server refuses an index version that it does not serve, without running the request")
    {
        auto request = requestNumber(1, "x");
        request.version = IndexVersion(2);
        server.receive(request, now, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].reason == "version-gone");
        CHECK(server.counters().ran == 0);
    }
    SUBCASE("The server sheds a request when all slots are busy and the queue is full")
    {
        for (std::uint64_t n = 0; n < 19; ++n)
            server.receive(requestNumber(n, "x"), now, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].reason == "shed");
        CHECK(server.busySlots() == 2);
    }
    SUBCASE("A request with the crash mark crashes the server and frees all its slots")
    {
        server.receive(requestNumber(1, "crash-server"), now, out);
        server.receive(requestNumber(2, "x"), now, out);
        const auto crashAt = now + 1s;
        while (server.nextWake() <= crashAt && !server.counters().crashes)
            server.advance(server.nextWake(), out);
        CHECK(server.counters().crashes == 1);
        CHECK(server.busySlots() == 0);
    }
    SUBCASE("A cancelled request frees its slot and its slot time counts as wasted")
    {
        server.receive(requestNumber(1, "x"), now, out);
        server.cancel(requestNumber(1, "x").key, now + 1ms, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].status == 499);
        CHECK(server.counters().wasted == Duration(1ms));
    }
}

}
