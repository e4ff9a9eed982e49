#include "forward_test_bed.h"

#include "forward/record_merge.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
/// What one request may always hold, and the answers of the test's searches are far shorter.
constexpr std::size_t maxHeldBytes = 64 * kibibyte;
const std::vector<std::string> shards { "s0", "s1", "s2", "s3", "s4", "s5" };

/// Returns records of 16 bytes in no order, and a remainder that is none.
std::string randomPart(RandomSource& random, std::size_t records)
{
    std::string part;
    for (std::size_t i = 0; i < records * recordBytes + 7; ++i)
        part += static_cast<char>('a' + random.below(3));
    return part;
}

}

TEST_SUITE_BEGIN("forward");

// Guards against parts that wait in full for the last shard, and against an answer that lacks records for it.
TEST_CASE("A search holds little more than its answer, and the answer is made of all parts")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        ForwardTestBed bed(settingsInZoneA());
        bed.addReplicatedShards(shards, { .work = 10s });
        const auto number = bed.start(bed.searchRoute(shards));
        std::vector<std::string> parts;
        for (const auto& it : bed.serverRequests()) {
            parts.push_back(randomPart(random, 1 + random.below(5000)));
            bed.respond(it.id, ServerResponseKind::Served, parts.back());
            CHECK(bed.engine().heldBytes() <= maxHeldBytes);
        }
        REQUIRE(bed.answerTo(number));
        CHECK((bed.answerTo(number)->kind == ForwardAnswerKind::Search));
        CHECK(bed.answerTo(number)->signatures.size() == shards.size());
        CHECK(bed.answerTo(number)->message.body == greatestRecords({ parts.begin(), parts.end() }, 5));
        CHECK(bed.engine().heldBytes() == 0);
    }
}

TEST_CASE("A request holds what its caller may still get, and nothing after its end")
{
    ForwardTestBed bed(settingsInZoneA());
    bed.addServer("x", "x-a", "a", { .work = 10s });
    bed.addServer("x", "x-b", "a", { .work = 10s });
    const auto number = bed.start(bed.singleRoute("x", true));
    const auto first = bed.serverRequests().front();

    SUBCASE("A small failure is the answer when no other server serves the request")
    {
        bed.respond(first.id, ServerResponseKind::Failed, "it failed");
        CHECK(bed.engine().heldBytes() == 9);
        REQUIRE(bed.serverRequests().size() == 1);
        bed.failServerRequest(bed.serverRequests().front().id, ServerRequestFailure::Broken);
        REQUIRE(bed.answerTo(number));
        CHECK((bed.answerTo(number)->kind == ForwardAnswerKind::PassThrough));
        CHECK(bed.answerTo(number)->message.body == "it failed");
    }
    SUBCASE("A large failure is not held while another server runs the request")
    {
        bed.respond(first.id, ServerResponseKind::Failed, std::string(maxHeldBytes + 1, 'f'));
        CHECK(bed.engine().heldBytes() == 0);
        REQUIRE(bed.serverRequests().size() == 1);
        bed.failServerRequest(bed.serverRequests().front().id, ServerRequestFailure::Broken);
        REQUIRE(bed.answerTo(number));
        CHECK((bed.answerTo(number)->kind == ForwardAnswerKind::Failed));
    }
    SUBCASE("A large failure is delivered when it is the last response")
    {
        const std::string body(maxHeldBytes + 1, 'f');
        bed.respond(first.id, ServerResponseKind::Failed, "it failed");
        REQUIRE(bed.serverRequests().size() == 1);
        bed.respond(bed.serverRequests().front().id, ServerResponseKind::Failed, body);
        REQUIRE(bed.answerTo(number));
        CHECK(bed.answerTo(number)->message.body == body);
    }
    SUBCASE("The caller leaves")
    {
        bed.respond(first.id, ServerResponseKind::Failed, "it failed");
        bed.disconnect(number);
    }
    CHECK(bed.engine().heldBytes() == 0);
}

// Guards against bytes that are kept for callers who have their answer, or have gone.
TEST_CASE("Responses that no request needs any more are discarded while they arrive")
{
    ForwardTestBed bed(settingsInZoneA());
    bed.addServer("x", "x-a", "a", { .work = 10s });
    bed.addServer("x", "x-b", "a", { .work = 10s });

    SUBCASE("when the caller of a request leaves that must go on at its server")
    {
        const auto number = bed.start(bed.singleRoute("x", false));
        const auto id = bed.serverRequests().front().id;
        bed.disconnect(number);
        CHECK(bed.cancelledRequests() == 0);
        CHECK(bed.discardedResponses() == std::vector { id });
    }
    SUBCASE("when a hedge was served first")
    {
        const auto number = bed.start(bed.singleRoute("x", true));
        bed.run(700ms);
        REQUIRE(bed.serverRequests().size() == 2);
        const auto first = bed.serverRequests().front().id;
        bed.respond(bed.serverRequests().back().id, ServerResponseKind::Served);
        REQUIRE(bed.answerTo(number));
        CHECK(bed.discardedResponses() == std::vector { first });
    }
    SUBCASE("when one shard of a search was served, and others still run")
    {
        bed.addServer("y", "y-a", "a", { .work = 10s });
        const auto number = bed.start(bed.searchRoute({ "x", "y" }));
        bed.run(150ms);
        std::vector<SendServerRequest> attempts;
        for (const auto& it : bed.serverRequests()) {
            if (it.server.service == ServiceName("x"))
                attempts.push_back(it);
        }
        REQUIRE(attempts.size() == 2);
        bed.respond(attempts.front().id, ServerResponseKind::Served);
        CHECK_FALSE(bed.answerTo(number));
        CHECK(bed.discardedResponses() == std::vector { attempts.back().id });
    }
}

TEST_SUITE_END();

}
