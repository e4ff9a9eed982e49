#include "wire_callers.h"
#include "wire_servers.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

HttpResponse response(unsigned status, HttpHeaders headers)
{
    return { status, "", "body", std::move(headers) };
}

}

TEST_CASE("WireServers decides what a server's response proves" * doctest::test_suite("adapter"))
{
    const WireServers servers;
    const auto kind = [&](unsigned status, HttpHeaders headers) { return servers.read(response(status, std::move(headers)), "id1").kind; };

    SUBCASE("a success without a signature is unusable")
    {
        CHECK(kind(200, { { "Lycheefield-Response-Stamp", "s" }, { "Lycheefield-Attempt-Id", "id1" } }) == ServerResponseKind::Served);
        CHECK(kind(200, { { "Lycheefield-Attempt-Id", "id1" } }) == ServerResponseKind::Unusable);
    }
    SUBCASE("a response to another attempt is unusable")
    {
        CHECK(kind(200, { { "Lycheefield-Response-Stamp", "s" }, { "Lycheefield-Attempt-Id", "id2" } }) == ServerResponseKind::Unusable);
        CHECK(kind(503, { { "Lycheefield-Not-Executed", "1" }, { "Lycheefield-Attempt-Id", "id2" } }) == ServerResponseKind::Unusable);
    }
    SUBCASE("a response with a content encoding does not come from the server and is unusable")
    {
        CHECK(kind(200, { { "Lycheefield-Response-Stamp", "s" }, { "Content-Encoding", "gzip" } }) == ServerResponseKind::Unusable);
    }
    SUBCASE("only the not-executed header or status 421 proves that the request did not run")
    {
        CHECK(kind(503, { { "Lycheefield-Not-Executed", "1" } }) == ServerResponseKind::NotRun);
        CHECK(kind(400, { { "Lycheefield-Not-Executed", "1" } }) == ServerResponseKind::NotRun);
        CHECK(kind(421, {}) == ServerResponseKind::WrongServer);
        for (const unsigned status : { 408U, 429U, 503U })
            CHECK(kind(status, { { "Lycheefield-Response-Stamp", "s" } }) == ServerResponseKind::Unusable);
        CHECK(kind(500, { { "Lycheefield-Response-Stamp", "s" } }) == ServerResponseKind::Failed);
    }
    SUBCASE("the server's load is read only when all three numbers are valid")
    {
        CHECK(servers.read(response(200, { { "Lycheefield-Server-Load", "3, 1,8" } }), "id1").load == ServerLoad { 3, 1, 8 });
        CHECK_FALSE(servers.read(response(200, { { "Lycheefield-Server-Load", "3,x,8" } }), "id1").load);
        CHECK(servers.read(response(200, { { "Lycheefield-Server-Load", "3,1,8,250" } }), "id1").load == ServerLoad { 3, 1, 8, 2.5 });
        CHECK_FALSE(servers.read(response(200, { { "Lycheefield-Server-Load", "3,1,8,x" } }), "id1").load);
        CHECK_FALSE(servers.read(response(200, { { "Lycheefield-Server-Load", "3,1,8,0" } }), "id1").load);
        CHECK_FALSE(servers.read(response(200, { { "Lycheefield-Server-Load", "3,1,8,100,1" } }), "id1").load);
    }
    SUBCASE("only a 503 asks for a pause, in seconds with or without a fraction")
    {
        CHECK(servers.read(response(503, { { "Retry-After", "2.5" } }), "id1").retryAfter == 2500ms);
        CHECK(servers.read(response(503, { { "Lycheefield-Not-Executed", "1" }, { "Retry-After", "3" } }), "id1").retryAfter == 3s);
        CHECK(servers.read(response(503, { { "Retry-After", "1e300" } }), "id1").retryAfter == 24h);
        CHECK(servers.read(response(200, { { "Retry-After", "3" } }), "id1").retryAfter == 0s);
        CHECK(servers.read(response(503, {}), "id1").retryAfter == 0s);
        CHECK(servers.read(response(503, { { "Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT" } }), "id1").retryAfter == 0s);
        CHECK(servers.read(response(503, { { "Lycheefield-Attempt-Id", "other" }, { "Retry-After", "3" } }), "id1").retryAfter == 0s);
    }
    SUBCASE("a server that leaves says so in its responses")
    {
        CHECK(servers.read(response(200, { { "Server-Leaving", "1" } }), "id1").isLeaving);
        CHECK_FALSE(servers.read(response(200, { { "Server-Leaving", "0" } }), "id1").isLeaving);
        CHECK_FALSE(servers.read(response(200, {}), "id1").isLeaving);
        CHECK(servers.read(response(200, { { "Lycheefield-Warmup-Ms", "2500" } }), "id1").warmupLeft == 2500ms);
        for (const auto* text : { "", "-1", "2.5", "soon" })
            CHECK(servers.read(response(200, { { "Lycheefield-Warmup-Ms", text } }), "id1").warmupLeft == Duration {});
    }
    SUBCASE("a limit is a decimal number of requests per second; anything else is none")
    {
        CHECK(servers.read(response(200, { { "Server-Limit", "25.6" } }), "id1").rateLimit == 25.6);
        CHECK(servers.read(response(503, { { "Server-Limit", "0" } }), "id1").rateLimit == 0);
        for (const auto* text : { "", "x", "-1", "4 per second", "inf", "nan", "1e999" })
            CHECK_FALSE(servers.read(response(200, { { "Server-Limit", text } }), "id1").rateLimit);
    }
    SUBCASE("the idle allowance ends before the server closes the connection")
    {
        CHECK(servers.idleAllowance(response(200, { { "Keep-Alive", "timeout=5, max=9" } })) == 4500ms);
        CHECK(servers.idleAllowance(response(200, {})) == Duration {});
    }
}

TEST_CASE("WireServers sends the caller's message without hop-by-hop headers and with its own deadline and target" * doctest::test_suite("adapter"))
{
    const WireServers servers;
    const HttpRequest callers { "POST", "/o/1?x=1",
        { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", "id1" }, { "Lycheefield-Deadline-Ms", "9000" }, { "Connection", "keep-alive, X-Private" },
            { "X-Private", "1" }, { "Transfer-Encoding", "chunked" }, { "X-Other", "2" } },
        "order" };
    const auto sent = servers.write(callers, { ServerName("i-7"), 1234567us });
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/o/1?x=1");
    CHECK(sent.body == "order");
    CHECK(sent.headers
        == HttpHeaders { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", "id1" }, { "X-Other", "2" }, { "Lycheefield-Deadline-Ms", "1234" },
            { "Lycheefield-Target-Instance", "i-7" } });
}

TEST_CASE("WireCallers reads callers' requests and writes their answers" * doctest::test_suite("adapter"))
{
    const WireCallers callers;
    ForwardAnswer answer;

    SUBCASE("a search answer carries the signatures of its parts and the number of missing parts")
    {
        answer.kind = ForwardAnswerKind::Search;
        answer.signatures = { "s1", "s2" };
        answer.missingShards = 1;
        answer.message.body = "records";
        const auto written = callers.write(answer);
        CHECK(written.status == 200);
        CHECK(written.body == "records");
        CHECK(written.headers.find("Lycheefield-Part-Stamps") == "s1, s2");
        CHECK(written.headers.find("Lycheefield-Missing-Parts") == "1");
    }
    SUBCASE("a server's response is passed through without its hop-by-hop headers")
    {
        answer.kind = ForwardAnswerKind::PassThrough;
        answer.message = response(418, { { "Lycheefield-Response-Stamp", "s" }, { "Content-Length", "4" }, { "Keep-Alive", "timeout=5" }, { "X-Other", "2" } });
        const auto written = callers.write(answer);
        CHECK(written.status == 418);
        CHECK(written.contentType.empty());
        CHECK(written.headers == HttpHeaders { { "Lycheefield-Response-Stamp", "s" }, { "X-Other", "2" } });
    }
    SUBCASE("a request that did not run gets 503 with Retry-After; a request that may have run gets 502 or 504")
    {
        answer.kind = ForwardAnswerKind::NotRun;
        answer.retryAfter = 250ms;
        CHECK(callers.write(answer).status == 503);
        CHECK(callers.write(answer).headers.find("Retry-After") == "0.250");
        answer.kind = ForwardAnswerKind::Failed;
        CHECK(callers.write(answer).status == 502);
        answer.kind = ForwardAnswerKind::TimedOut;
        CHECK(callers.write(answer).status == 504);
    }
    SUBCASE("the attempt id and the deadline of a request are read; a malformed deadline is ignored")
    {
        const HttpRequest request { "GET", "/", { { "Lycheefield-Attempt-Id", "id1" }, { "Lycheefield-Deadline-Ms", "1200" } }, "" };
        CHECK(callers.read(request) == CallerFields { "id1", Duration(1200ms) });
        CHECK(callers.read({ "GET", "/", { { "Lycheefield-Deadline-Ms", "soon" } }, "" }) == CallerFields { "", std::nullopt });
    }
}

TEST_CASE("WireCallers reads the API key of a request that carries exactly one" * doctest::test_suite("adapter"))
{
    const WireCallers callers;
    const auto keyOf = [&](const HttpHeaders& headers) { return std::string(callers.read({ "GET", "/", headers, "" }).key); };
    const std::string longKey(8192, 'k');
    CHECK(keyOf({ { "Authorization", "Bearer k1" } }) == "k1");
    CHECK(keyOf({ { "authorization", "bEARER   k1 " } }) == "k1");
    CHECK(keyOf({ { "Authorization", "Bearer " + longKey } }) == longKey);
    CHECK(keyOf({}).empty());
    for (const auto* text : { "", "Bearer", "Bearer ", "Bearer   ", "Basic k1", "BearerX k1", "k1", "Bearer\tk1" })
        CHECK(keyOf({ { "Authorization", text } }).empty());

    SUBCASE("a second Authorization header makes both unusable")
    {
        CHECK(keyOf({ { "Authorization", "Bearer k1" }, { "AUTHORIZATION", "Bearer k1" } }).empty());
        CHECK(keyOf({ { "Authorization", "" }, { "Authorization", "Bearer k1" } }).empty());
    }
    SUBCASE("the headers that hold a key or name a team are removed, and no others")
    {
        HttpRequest request { "GET", "/", { { "Host", "a" }, { "authorization", "Bearer k1" }, { "LYCHEEFIELD-TENANT", "x" }, { "Authorization", "Basic z" } }, "" };
        callers.removeCredentials(request);
        CHECK(request.headers == HttpHeaders { { "Host", "a" } });
    }
    SUBCASE("a 401 names the scheme of the credentials that are expected")
    {
        CHECK(callers.write(EarlyRefusal { 401, {}, "no valid API key" }).headers.find("WWW-Authenticate") == "Bearer");
    }
}

TEST_CASE("WireServers names the caller's team whatever the caller sent" * doctest::test_suite("adapter"))
{
    const WireServers servers;
    const HttpRequest callers { "GET", "/", { { "Host", "a" }, { "lycheefield-tenant", "pretended" }, { "Authorization", "Basic x" } }, "" };
    const auto sent = servers.write(callers, { ServerName("i-7"), 1s, TeamName("desk") });
    CHECK(sent.headers.count("Lycheefield-Tenant") == 1);
    CHECK(sent.headers.find("Lycheefield-Tenant") == "desk");

    SUBCASE("without a team the message passes as the caller sent it")
    {
        const auto plain = servers.write(callers, { ServerName("i-7"), 1s });
        CHECK(plain.headers.find("Lycheefield-Tenant") == "pretended");
        CHECK(plain.headers.find("Authorization") == "Basic x");
    }
}

}
