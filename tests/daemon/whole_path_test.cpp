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

json::object parsed(const standin::HttpResponse& response)
{
    return json::parse(response.body).as_object();
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

TEST_CASE("A search at any instance reaches every shard and its answer is complete")
{
    SmallSystem system(planOf(1ms), rules, 3);
    std::string id;
    for (std::size_t i = 0; i < 3; ++i) {
        CAPTURE(i);
        const std::string body = "{\"asked\":" + std::to_string(i) + "}";
        const auto response = system.call(i, "POST", "/search/x", body);
        REQUIRE(response.status == 200);
        const auto answer = parsed(response);
        CHECK(textOf(answer.at("run")) == "ran");
        CHECK(answer.at("coverage").at("complete").as_bool());
        CHECK(answer.at("coverage").at("covered").as_array().size() == 20);
        CHECK(answer.at("coverage").at("batches").as_array().size() == 80);
        bool isEcho = true;
        for (const auto& it : answer.at("results").as_array())
            isEcho = isEcho && textOf(it.at("result").at("echo")) == body && it.at("result").at("version") == answer.at("snapshot");
        CHECK(isEcho);
        id = textOf(answer.at("request"));
    }

    // Every instance returns the trace and the explanation of the request, with each hop.
    const auto tree = system.call(0, "GET", "/traces/" + id + "?format=tree").body;
    CHECK(relaysIn(tree).size() > 1);
    CHECK(tree.find("relay.queue") != std::string::npos);
    const auto trace = parsed(system.call(1, "GET", "/traces/" + id));
    CHECK(trace.at("resourceSpans").as_array().size() == 1);
    const auto explanation = parsed(system.call(0, "GET", "/v1/requests/" + id));
    CHECK(explanation.at("lines").as_array().size() >= 42);
    CHECK(system.call(0, "DELETE", "/v1/requests/" + id).status == 404);
    CHECK(system.call(0, "GET", "/v1/requests/00000000000000010000000000000001").status == 404);
    CHECK(system.call(0, "GET", "/v1/requests/nonsense").status == 400);

    // A record request is one leg. Unknown paths, unsupported methods and an order without a key are refused.
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

TEST_CASE("The caller's trace continues through every hop to the backend servers")
{
    SmallSystem system(planOf(1ms), rules, 3);
    const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    const std::string callerSpan = "b7ad6b7169203331";
    const auto response = system.call(1, "POST", "/search/x", "{}", { { "traceparent", "00-" + traceId + "-" + callerSpan + "-01" } });
    REQUIRE(response.status == 200);
    const auto answer = parsed(response);
    const auto trace = parsed(system.call(2, "GET", "/traces/" + textOf(answer.at("request"))));

    std::string entrySpan;
    std::map<std::string, std::string> parents; // Parent span by span.
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
    CHECK(response.headers.at("traceparent") == "00-" + traceId + "-" + entrySpan + "-01");

    // Each server received the caller's trace id and, as the parent, the span of its own attempt.
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

    // Without a traceparent of the caller the request id becomes the trace id; a malformed header is ignored.
    for (const auto* header : { "", "00-nonsense-01" }) {
        const auto own = system.call(0, "POST", "/search/x", "{}", { { "traceparent", header } });
        REQUIRE(own.status == 200);
        CHECK(own.headers.at("traceparent").find("00-" + textOf(parsed(own).at("request")) + "-") == 0);
    }
    CHECK(system.stop() == std::vector<int> { 0, 0, 0 });
}

TEST_CASE("A search with more legs than the limit is refused before it runs, with Retry-After")
{
    SmallSystem system(planOf(1ms), rules, 1, [](Settings& settings) { settings.http.maxLegs = 19; });
    const auto response = system.call(0, "POST", "/search/x", "{}");
    CHECK(response.status == 503);
    CHECK(std::stoul(response.headers.at("Retry-After")) > 0);
    const auto answer = parsed(response);
    CHECK(textOf(answer.at("run")) == "not run");
    CHECK(textOf(answer.at("error").at("kind")) == "overloaded");
    CHECK(textOf(answer.at("error").at("remedy")).find("http.max_legs") != std::string::npos);
    CHECK(system.call(0, "GET", "/metrics").body.find("lycheefield_query_first_legs_total 0\n") != std::string::npos);
    // A record request of the same service is one leg.
    CHECK(system.call(0, "GET", "/record/1").status == 200);
    CHECK(system.stop() == std::vector<int> { 0 });
}

TEST_CASE("Instances that receive SIGTERM repeatedly under load complete every request in flight")
{
    SmallSystem system(planOf(300ms), rules, 3);
    std::vector<standin::HttpResponse> responses(3);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 3; ++i)
        callers.emplace_back([&, i] { responses[i] = system.call(i, "POST", "/search/x", "{}"); });
    for (std::size_t i = 0; i < 3; ++i) {
        while (system.call(i, "GET", "/status").body.find("\"requests_in_flight\":0,") != std::string::npos) { }
    }
    std::raise(SIGTERM);
    const auto codes = system.stop();
    for (auto& it : callers)
        it.join();
    CHECK(codes == std::vector<int> { 0, 0, 0 });
    for (const auto& it : responses) {
        CHECK(it.status == 200);
        CHECK(it.body.find("\"complete\":true") != std::string::npos);
    }
}

TEST_SUITE_END();
