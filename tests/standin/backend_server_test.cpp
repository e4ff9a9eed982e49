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

TEST_CASE("a stand-in backend server runs what it has slots for" * doctest::test_suite("standin"))
{
    auto server = readyServer();
    std::vector<BackendResponse> out;
    const TimePoint now(10ms);

    SUBCASE("a request is answered with its batches and version")
    {
        server.receive(requestNumber(1, "x"), now, out);
        CHECK(out.empty());
        server.advance(now + 10s, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].status == 200);
        CHECK(out[0].batches == std::vector { BatchId("b0") });
    }
    SUBCASE("a version it does not serve is refused before it runs")
    {
        auto request = requestNumber(1, "x");
        request.version = IndexVersion(2);
        server.receive(request, now, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].reason == "version-gone");
        CHECK(server.counters().ran == 0);
    }
    SUBCASE("past slots and queue it sheds")
    {
        for (std::uint64_t n = 0; n < 19; ++n)
            server.receive(requestNumber(n, "x"), now, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].reason == "shed");
        CHECK(server.busySlots() == 2);
    }
    SUBCASE("a marked request takes the server down and nobody gets an answer")
    {
        server.receive(requestNumber(1, "crash-server"), now, out);
        server.receive(requestNumber(2, "x"), now, out);
        const auto crashAt = now + 1s;
        while (server.nextWake() <= crashAt && !server.counters().crashes)
            server.advance(server.nextWake(), out);
        CHECK(server.counters().crashes == 1);
        CHECK(server.busySlots() == 0);
    }
    SUBCASE("a cancelled request frees its slot and its time counts as wasted")
    {
        server.receive(requestNumber(1, "x"), now, out);
        server.cancel(requestNumber(1, "x").key, now + 1ms, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].status == 499);
        CHECK(server.counters().wasted == Duration(1ms));
    }
}

}
