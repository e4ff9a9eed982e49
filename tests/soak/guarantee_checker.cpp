#include "guarantee_checker.h"

#include "forward/record_merge.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace lycheefield::soak {

namespace {

constexpr unsigned firstError = 300;
constexpr unsigned notFound = 404;

bool saysNotRun(const HttpResponse& response)
{
    constexpr unsigned statuses[] = { 408, 421, 429, 503 };
    const bool isOwn = response.headers.find("Lycheefield-Response-Stamp").empty();
    return isOwn && std::find(std::begin(statuses), std::end(statuses), response.status) != std::end(statuses);
}

}

GuaranteeChecker::GuaranteeChecker(std::set<std::string> shards, std::size_t topRecords, std::size_t maxRuns, std::size_t minShards)
    : m_shards(std::move(shards))
    , m_topRecords(topRecords)
    , m_maxRuns(maxRuns)
    , m_minShards(minShards)
{
}

void GuaranteeChecker::onSent(const SoakRequest& request)
{
    m_requests[request.id].request = request;
}

void GuaranteeChecker::onOutcome(const std::string& id, const RequestOutcome& outcome)
{
    auto& tracked = m_requests.at(id);
    tracked.outcome = outcome;
    tracked.isFinished = true;
    m_answers += outcome.isAnswered ? 1 : 0;
    m_successes += outcome.isAnswered && outcome.response.status < firstError ? 1 : 0;
}

void GuaranteeChecker::onRun(const ServerRun& run)
{
    const auto it = m_requests.find(run.requestId);
    if (it == m_requests.end()) {
        fail("a server ran a request that no caller sent");
        return;
    }
    const auto& request = it->second.request;
    if (run.method != request.method || run.target != request.target || run.requestBody != request.body)
        fail("a server ran a request whose method, target or body differs from what the caller sent");
    it->second.runs.push_back(run);
}

void GuaranteeChecker::expect(bool holds, const std::string& violation, const TrackedRequest& tracked)
{
    ++m_checks;
    if (holds)
        return;
    if (++m_violations[violation] <= 3)
        std::cerr << "violation: " << violation << "; request " << tracked.request.id << " at " << tracked.request.gateway << " status " << tracked.outcome.response.status << '\n';
}

void GuaranteeChecker::checkAll()
{
    for (const auto& [id, tracked] : m_requests) {
        checkRuns(tracked);
        if (!tracked.outcome.isAnswered) {
            expect(!tracked.outcome.isUnexpectedClose || tracked.runs.empty(), "a gateway without a fault closed the connection of a request that a server had run", tracked);
            continue;
        }
        if (tracked.request.isRouted)
            expect((tracked.outcome.response.status != notFound) == *tracked.request.isRouted, "a gateway did not apply a changed configuration in time", tracked);
        if (tracked.outcome.response.status < firstError)
            checkSuccess(tracked);
        if (saysNotRun(tracked.outcome.response) && !tracked.request.isIdempotent)
            expect(tracked.runs.empty(), "the answer to an order says that the order did not run, but a server ran it", tracked);
    }
}

void GuaranteeChecker::checkRuns(const TrackedRequest& tracked)
{
    if (!tracked.request.isIdempotent)
        return expect(tracked.runs.size() <= 1, "an order ran more than once", tracked);
    std::map<std::string, std::set<std::string>> servers;
    for (const auto& it : tracked.runs)
        servers[it.service].insert(it.server);
    const bool holds = std::all_of(servers.begin(), servers.end(), [&](const auto& it) { return it.second.size() <= m_maxRuns; });
    expect(holds, "an idempotent request ran on more servers of one service than allowed", tracked);
}

void GuaranteeChecker::checkSuccess(const TrackedRequest& tracked)
{
    if (tracked.request.isSearch)
        return checkSearch(tracked);
    const auto& response = tracked.outcome.response;
    const auto signature = response.headers.find("Lycheefield-Response-Stamp");
    const auto it = std::find_if(tracked.runs.begin(), tracked.runs.end(), [&](const ServerRun& run) { return run.signature == signature; });
    const bool holds = it != tracked.runs.end() && it->status == response.status && it->body == response.body;
    expect(holds, "a successful answer differs from every response of a server to the request", tracked);
}

void GuaranteeChecker::checkSearch(const TrackedRequest& tracked)
{
    const auto& response = tracked.outcome.response;
    std::vector<std::string> signatures;
    const std::string listed(response.headers.find("Lycheefield-Part-Stamps"));
    boost::split(signatures, listed, boost::is_any_of(", "), boost::token_compress_on);
    std::set<std::string> covered;
    std::vector<std::string_view> parts;
    for (const auto& signature : signatures) {
        const auto it = std::find_if(tracked.runs.begin(), tracked.runs.end(), [&](const ServerRun& run) { return run.signature == signature && run.status < firstError; });
        if (it == tracked.runs.end())
            return expect(false, "a search answer names a part that no server returned for the search", tracked);
        covered.insert(it->service);
        parts.push_back(it->body);
    }
    expect(covered.size() == signatures.size(), "a search answer names two parts of one shard", tracked);
    expect(covered.size() >= m_minShards, "a search answer covers fewer shards than the route requires", tracked);
    const std::string missing(response.headers.find("Lycheefield-Missing-Parts"));
    expect(covered.size() + std::stoul(missing.empty() ? "0" : missing) == m_shards.size(), "a search answer reports a wrong number of missing shards", tracked);
    expect(response.body == greatestRecords(parts, m_topRecords), "the records of a search answer are not the greatest of its parts", tracked);
}

}
