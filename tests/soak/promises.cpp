#include "promises.h"

#include "forward/record_merge.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace lycheefield::soak {

namespace {

constexpr unsigned firstError = 300;
constexpr unsigned notFound = 404;

bool saysNotRun(const HttpResponse& reply)
{
    constexpr unsigned statuses[] = { 408, 421, 429, 503 };
    const bool isOwn = reply.headers.find("Lycheefield-Response-Stamp").empty();
    return isOwn && std::find(std::begin(statuses), std::end(statuses), reply.status) != std::end(statuses);
}

}

Promises::Promises(std::set<std::string> shards, std::size_t topRecords, std::size_t maxRuns, std::size_t minShards)
    : m_shards(std::move(shards))
    , m_topRecords(topRecords)
    , m_maxRuns(maxRuns)
    , m_leastShards(minShards)
{
}

void Promises::onSent(const Attempt& attempt)
{
    m_attempts[attempt.id].attempt = attempt;
}

void Promises::onEnd(const std::string& id, const AttemptEnd& end)
{
    auto& known = m_attempts.at(id);
    known.end = end;
    known.isOver = true;
    m_answers += end.isAnswered ? 1 : 0;
    m_successes += end.isAnswered && end.reply.status < firstError ? 1 : 0;
}

void Promises::onRun(const Run& run)
{
    const auto it = m_attempts.find(run.attemptId);
    if (it == m_attempts.end()) {
        fail("a server ran a request that nobody sent");
        return;
    }
    const auto& attempt = it->second.attempt;
    if (run.method != attempt.method || run.target != attempt.target || run.requestBody != attempt.body)
        fail("a server ran a request that was changed on its way");
    it->second.runs.push_back(run);
}

void Promises::expect(bool holds, const std::string& what, const Known& known)
{
    ++m_checks;
    if (holds)
        return;
    if (++m_broken[what] <= 3)
        std::cerr << "broken: " << what << "; request " << known.attempt.id << " at " << known.attempt.gateway << " status " << known.end.reply.status << '\n';
}

void Promises::checkAll()
{
    for (const auto& [id, known] : m_attempts) {
        checkRuns(known);
        if (!known.end.isAnswered) {
            expect(!known.end.isBroken || known.runs.empty(), "a stop cut off a request that had been passed on", known);
            continue;
        }
        if (known.attempt.isRouted)
            expect((known.end.reply.status != notFound) == *known.attempt.isRouted, "a gateway did not follow the configuration in time", known);
        if (known.end.reply.status < firstError)
            checkSuccess(known);
        if (saysNotRun(known.end.reply) && !known.attempt.isIdempotent)
            expect(known.runs.empty(), "a caller was told that its order did not run, and it ran", known);
    }
}

void Promises::checkRuns(const Known& known)
{
    if (!known.attempt.isIdempotent)
        return expect(known.runs.size() <= 1, "an order ran more than once", known);
    std::map<std::string, std::set<std::string>> servers;
    for (const auto& it : known.runs)
        servers[it.service].insert(it.server);
    const bool holds = std::all_of(servers.begin(), servers.end(), [&](const auto& it) { return it.second.size() <= m_maxRuns; });
    expect(holds, "a request ran on more servers of a service than it may", known);
}

void Promises::checkSuccess(const Known& known)
{
    if (known.attempt.isSearch)
        return checkSearch(known);
    const auto& reply = known.end.reply;
    const auto signature = reply.headers.find("Lycheefield-Response-Stamp");
    const auto it = std::find_if(known.runs.begin(), known.runs.end(), [&](const Run& run) { return run.signature == signature; });
    const bool holds = it != known.runs.end() && it->status == reply.status && it->body == reply.body;
    expect(holds, "a success is not what a server answered to this request", known);
}

void Promises::checkSearch(const Known& known)
{
    const auto& reply = known.end.reply;
    std::vector<std::string> signatures;
    const std::string listed(reply.headers.find("Lycheefield-Part-Stamps"));
    boost::split(signatures, listed, boost::is_any_of(", "), boost::token_compress_on);
    std::set<std::string> covered;
    std::vector<std::string_view> parts;
    for (const auto& signature : signatures) {
        const auto it = std::find_if(known.runs.begin(), known.runs.end(), [&](const Run& run) { return run.signature == signature && run.status < firstError; });
        if (it == known.runs.end())
            return expect(false, "a search names a part that no server made for it", known);
        covered.insert(it->service);
        parts.push_back(it->body);
    }
    expect(covered.size() == signatures.size(), "a search names two parts of one shard", known);
    expect(covered.size() >= m_leastShards, "a search covers less than it must", known);
    const std::string missing(reply.headers.find("Lycheefield-Missing-Parts"));
    expect(covered.size() + std::stoul(missing.empty() ? "0" : missing) == m_shards.size(), "a search does not tell truly how many shards are missing", known);
    expect(reply.body == greatestRecords(parts, m_topRecords), "a search's records are not the greatest of its parts", known);
}

}
