#include "support/small_system.h"

#include "observe/span.h"

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

using namespace lycheefield;
namespace json = boost::json;

namespace {

const std::string rules = "match /search service quotedesk kind search priority desk deadline 20s coverage 100% prefer coverage hedge 0% retry 10%  # asked by the tests: every shard\n"
                          "match /record service quotedesk kind record priority desk deadline 20s hedge 0% retry 10%  # asked by the tests: one shard\n"
                          "match /order service quotedesk kind order priority desk deadline 20s hedge 0% retry 0%  # asked by the tests: once\n";

standin::FleetPlan planOf(Duration serviceTime)
{
    standin::FleetPlan plan;
    plan.behaviour.meanServiceTime = serviceTime;
    plan.limits.connectCost = Duration(100);
    return plan;
}

json::object parsed(const standin::HttpResponse& reply)
{
    return json::parse(reply.body).as_object();
}

std::string textOf(const json::value& value)
{
    return json::value_to<std::string>(value);
}

std::set<std::string> relaysIn(const std::string& tree)
{
    std::set<std::string> relays;
    const std::string mark = "relay=";
    for (auto at = tree.find(mark); at != std::string::npos; at = tree.find(mark, at + 1))
        relays.insert(tree.substr(at + mark.size(), tree.find(' ', at) - at - mark.size()));
    return relays;
}

}

TEST_SUITE_BEGIN("daemon");

TEST_CASE("a search at any instance reaches every shard and comes back whole")
{
    SmallSystem system(planOf(1ms), rules, 3);
    std::string id;
    for (std::size_t i = 0; i < 3; ++i) {
        CAPTURE(i);
        const std::string body = "{\"asked\":" + std::to_string(i) + "}";
        const auto reply = system.call(i, "POST", "/search/x", body);
        REQUIRE(reply.status == 200);
        const auto answer = parsed(reply);
        CHECK(textOf(answer.at("run")) == "ran");
        CHECK(answer.at("coverage").at("complete").as_bool());
        CHECK(answer.at("coverage").at("covered").as_array().size() == 20);
        CHECK(answer.at("coverage").at("batches").as_array().size() == 80);
        bool isOwn = true;
        for (const auto& it : answer.at("results").as_array())
            isOwn = isOwn && textOf(it.at("result").at("echo")) == body && it.at("result").at("version") == answer.at("snapshot");
        CHECK(isOwn);
        id = textOf(answer.at("request"));
    }

    // Its trace and its story can be had from any instance, and show each hop.
    const auto tree = system.call(0, "GET", "/traces/" + id + "?format=tree").body;
    CHECK(relaysIn(tree).size() > 1);
    CHECK(tree.find("relay.queue") != std::string::npos);
    const auto trace = parsed(system.call(1, "GET", "/traces/" + id));
    CHECK(trace.at("resourceSpans").as_array().size() == 1);
    const auto story = parsed(system.call(0, "GET", "/v1/requests/" + id));
    CHECK(story.at("lines").as_array().size() >= 42);
    CHECK(system.call(0, "DELETE", "/v1/requests/" + id).status == 404);
    CHECK(system.call(0, "GET", "/v1/requests/00000000000000010000000000000001").status == 404);
    CHECK(system.call(0, "GET", "/v1/requests/nonsense").status == 400);

    // A single record is one leg; unknown paths and an order without its key are refused.
    CHECK(parsed(system.call(1, "GET", "/record/1")).at("results").as_array().size() == 1);
    CHECK(system.call(1, "GET", "/nowhere").status == 404);
    CHECK(system.call(1, "PUT", "/search").status == 405);
    const auto order = system.call(2, "POST", "/order", "{}");
    CHECK(order.status == 400);
    CHECK(textOf(parsed(order).at("run")) == "not run");
    CHECK(system.call(0, "GET", "/healthz").status == 200);
    CHECK(system.call(0, "GET", "/metrics").body.find("lycheefield_query_first_legs_total") != std::string::npos);
    CHECK(system.stop() == std::vector<int> { 0, 0, 0 });
}

TEST_CASE("the caller's trace goes on through every hop to the backend servers")
{
    SmallSystem system(planOf(1ms), rules, 3);
    const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    const std::string callerSpan = "b7ad6b7169203331";
    const auto reply = system.call(1, "POST", "/search/x", "{}", { { "traceparent", "00-" + traceId + "-" + callerSpan + "-01" } });
    REQUIRE(reply.status == 200);
    const auto answer = parsed(reply);
    const auto trace = parsed(system.call(2, "GET", "/traces/" + textOf(answer.at("request"))));

    std::string entrySpan;
    std::map<std::string, std::string> parents; // by span
    std::set<std::string> serverSpans;
    for (const auto& it : trace.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").as_array()) {
        CHECK(textOf(it.at("traceId")) == traceId);
        const auto span = textOf(it.at("spanId"));
        const auto* parent = it.as_object().if_contains("parentSpanId");
        parents[span] = parent ? textOf(*parent) : std::string();
        if (it.at("name") == "entry")
            entrySpan = span;
        if (it.at("name") == "server")
            serverSpans.insert(span);
    }
    CHECK(parents[entrySpan] == callerSpan);
    CHECK(reply.headers.at("traceparent") == "00-" + traceId + "-" + entrySpan + "-01");

    // Each server was told the caller's trace and, as its parent, the span of its own leg.
    std::set<std::string> receivedSpans;
    for (const auto& it : answer.at("results").as_array()) {
        const auto received = TraceParent::parse(textOf(it.at("result").at("traceparent")));
        CHECK(received.traceId == traceId);
        receivedSpans.insert(received.toString().substr(36, 16));
    }
    CHECK(receivedSpans.size() == 20);
    CHECK(std::includes(serverSpans.begin(), serverSpans.end(), receivedSpans.begin(), receivedSpans.end()));
    for (const auto& it : receivedSpans)
        CHECK(parents[parents[it]] == entrySpan);

    // Without a caller's trace the request id becomes the trace id; a damaged header counts as none.
    for (const auto* header : { "", "00-nonsense-01" }) {
        const auto own = system.call(0, "POST", "/search/x", "{}", { { "traceparent", header } });
        REQUIRE(own.status == 200);
        CHECK(own.headers.at("traceparent").find("00-" + textOf(parsed(own).at("request")) + "-") == 0);
    }
    CHECK(system.stop() == std::vector<int> { 0, 0, 0 });
}

TEST_CASE("a search of more legs than the limit is refused before it runs, and told when to come again")
{
    SmallSystem system(planOf(1ms), rules, 1, [](Settings& settings) { settings.http.maxLegs = 19; });
    const auto reply = system.call(0, "POST", "/search/x", "{}");
    CHECK(reply.status == 503);
    CHECK(std::stoul(reply.headers.at("Retry-After")) > 0);
    const auto answer = parsed(reply);
    CHECK(textOf(answer.at("run")) == "not run");
    CHECK(textOf(answer.at("error").at("kind")) == "overloaded");
    CHECK(textOf(answer.at("error").at("remedy")).find("http.max_legs") != std::string::npos);
    CHECK(system.call(0, "GET", "/metrics").body.find("lycheefield_query_first_legs_total 0\n") != std::string::npos);
    // A single record of the same service is one leg.
    CHECK(system.call(0, "GET", "/record/1").status == 200);
    CHECK(system.stop() == std::vector<int> { 0 });
}

TEST_CASE("SIGTERM under load cuts nothing off, however often it comes")
{
    SmallSystem system(planOf(300ms), rules, 3);
    std::vector<standin::HttpResponse> replies(3);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 3; ++i)
        callers.emplace_back([&, i] { replies[i] = system.call(i, "POST", "/search/x", "{}"); });
    for (std::size_t i = 0; i < 3; ++i) {
        while (system.call(i, "GET", "/status").body.find("\"requests_in_flight\":0,") != std::string::npos) { }
    }
    std::raise(SIGTERM);
    const auto codes = system.stop();
    for (auto& it : callers)
        it.join();
    CHECK(codes == std::vector<int> { 0, 0, 0 });
    for (const auto& it : replies) {
        CHECK(it.status == 200);
        CHECK(it.body.find("\"complete\":true") != std::string::npos);
    }
}

TEST_SUITE_END();
