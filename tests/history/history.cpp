#include "history/history.h"

#include <algorithm>

namespace lycheefield::history {

using namespace std::chrono_literals;

namespace {

constexpr Duration drainNotice = 2s;
/// Most servers that one content may crash when it is sent again, by any caller.
constexpr std::uint32_t maxFurtherCrashes = 2;

std::string nameOf(const CallRecord& call)
{
    return call.id.toString() + " (" + call.body + ")";
}

}

std::vector<std::string> History::violations(TimePoint end) const
{
    std::vector<std::string> out;
    checkAnswers(out, end);
    checkOrders(out);
    checkServers(out);
    checkCrashes(out);
    checkStore(out);
    checkOperators(out);
    checkRevisions(out);
    out.insert(out.end(), malformed.begin(), malformed.end());
    for (const auto& it : abortedByDrain)
        out.push_back("a graceful shutdown aborted " + it);
    return out;
}

void History::checkAnswers(std::vector<std::string>& out, TimePoint end) const
{
    for (const auto& [id, call] : calls) {
        if (call.answers.size() > 1)
            out.push_back(nameOf(call) + " was answered more than once");
        if (call.answers.empty()) {
            if (!call.isExcused && call.deadline + answerGrace < end)
                out.push_back(nameOf(call) + " got no answer");
            continue;
        }
        if (!call.isExcused && call.answered > call.deadline + answerGrace)
            out.push_back(nameOf(call) + " was answered after its deadline");
        const auto& answer = call.answers.front();
        if (answer.request != id)
            out.push_back(nameOf(call) + " got the answer of " + answer.request.toString());
        if (!call.isReplay)
            checkCoverage(call, answer, out);
        checkRunState(call, answer, out);
    }
}

void History::checkCoverage(const CallRecord& call, const Answer& answer, std::vector<std::string>& out) const
{
    if (answer.refusal)
        return;
    std::set<ShardNumber> accountedShards;
    for (const auto& it : answer.covered) {
        accountedShards.insert(it.shard);
        const bool isConfirmed = std::any_of(outputs.begin(), outputs.end(), [&](const auto& output) {
            return output.key.request == call.id && output.shard == it.shard && output.version == answer.version
                && output.epoch == answer.epoch && output.batches == it.batches;
        });
        if (!isConfirmed)
            out.push_back(nameOf(call) + " reports as covered shard " + std::to_string(it.shard.value()) + " of a snapshot that no server returned");
        if (it.body != call.body)
            out.push_back(nameOf(call) + " contains a result of another request");
    }
    for (const auto& it : answer.missing)
        accountedShards.insert(it.shard);
    const auto expectedShards = call.kind == RequestKind::Search ? call.shards : 1;
    if (accountedShards.size() != expectedShards || answer.covered.size() + answer.missing.size() != expectedShards)
        out.push_back(nameOf(call) + " does not account for every shard");
}

void History::checkRunState(const CallRecord& call, const Answer& answer, std::vector<std::string>& out) const
{
    const bool hasRun = std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.key.request == call.id; });
    if (answer.runState == RunState::NotRun && (hasRun || hadRunBefore(call)))
        out.push_back(nameOf(call) + " was reported as not run, but ran");
    if (answer.runState == RunState::Ran && !hasRun && !call.isReplay)
        out.push_back(nameOf(call) + " was reported as ran, but did not run");
    if (answer.runState == RunState::Unknown && call.kind == RequestKind::Order && !call.mayBeUnknown)
        out.push_back(nameOf(call) + " was reported as unknown, and no fault explains the unknown outcome");
}

/// Returns whether the order ran before its answer, in whichever of the caller's requests with the same key: all of them are one order.
bool History::hadRunBefore(const CallRecord& call) const
{
    return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
        return it.kind == RequestKind::Order && call.kind == RequestKind::Order && it.body == call.body && it.startedAt < call.answered;
    });
}

void History::checkOrders(std::vector<std::string>& out) const
{
    std::map<std::string, std::uint32_t> times;
    for (const auto& it : runs) {
        if (it.kind == RequestKind::Order)
            ++times[it.body];
    }
    for (const auto& [body, n] : times) {
        if (n > 1)
            out.push_back("order " + body + " ran " + std::to_string(n) + " times");
    }
}

void History::checkServers(std::vector<std::string>& out) const
{
    for (const auto& [server, count] : maxConnections) {
        if (count > connectionCaps.at(server))
            out.push_back(server.value() + " had " + std::to_string(count) + " connections, above its connection cap");
    }
    for (const auto& [server, began] : drainStartedAt) {
        const auto it = received.find(server);
        if (it == received.end())
            continue;
        const bool gotWork = std::any_of(it->second.begin(), it->second.end(), [since = began](TimePoint at) { return at > since + drainNotice; });
        if (gotWork)
            out.push_back(server.value() + " received new work more than 2 s after the start of its drain");
    }
}

void History::checkCrashes(std::vector<std::string>& out) const
{
    std::uint32_t further = 0;
    std::map<std::string, std::set<ServerName>> byShard;
    for (const auto& it : crashes) {
        if (it.request != crashes.front().request)
            ++further;
        byShard[it.server.value().substr(0, it.server.value().rfind('-'))].insert(it.server);
    }
    if (further > maxFurtherCrashes)
        out.push_back("one content, sent again, crashed " + std::to_string(further) + " further servers");
    for (const auto& [shard, servers] : byShard) {
        if (servers.size() > 1)
            out.push_back("one content crashed both replicas of " + shard);
    }
}

void History::checkStore(std::vector<std::string>& out) const
{
    if (!storeRecords)
        return;
    const auto ranWith = [this](const RequestId& token) {
        return std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.kind == RequestKind::Order && it.key.request == token; });
    };
    std::set<RequestId> claimed;
    for (const auto& it : *storeRecords) {
        if (it.kind == ClaimRecordKind::Claim)
            claimed.insert(it.token);
        if (it.kind == ClaimRecordKind::Release && ranWith(it.token))
            out.push_back("the store released key " + it.key + ", but its order ran");
        if (it.kind == ClaimRecordKind::Outcome && it.state == RunState::Ran && !ranWith(it.token))
            out.push_back("the store records that the order of key " + it.key + " ran, but it did not run");
    }
    for (const auto& it : runs) {
        if (it.kind == RequestKind::Order && !claimed.contains(it.key.request))
            out.push_back("order " + it.body + " ran, but the store holds no claim of its request");
    }
}

void History::checkOperators(std::vector<std::string>& out) const
{
    std::map<RuleRevision, std::string> acceptedBy;
    for (const auto& it : operators) {
        const auto stored = std::find_if(storedRules.begin(), storedRules.end(), [&](const auto& rules) { return rules.second == it.who; });
        const bool isStored = stored != storedRules.end();
        if (it.verdict == ApplyVerdict::Accepted && (!isStored || stored->first != it.revision))
            out.push_back(it.who + " was told that the rules were accepted, but the store does not hold them at that revision");
        if (it.verdict == ApplyVerdict::Refused && isStored)
            out.push_back(it.who + " was told that the rules were not changed, but the store holds the new rules");
        if (it.verdict == ApplyVerdict::None)
            out.push_back(it.who + " got no verdict");
        if (it.verdict == ApplyVerdict::Unknown && !it.mayBeUnknown)
            out.push_back(it.who + " got the verdict unknown, and no fault explains it");
        if (it.verdict == ApplyVerdict::Accepted && !acceptedBy.emplace(it.revision, it.who).second)
            out.push_back("the rules of two operators were accepted at the same revision " + std::to_string(it.revision.value()));
    }
}

void History::checkRevisions(std::vector<std::string>& out) const
{
    for (const auto& [instance, revisions] : observedRevisions) {
        if (!std::is_sorted(revisions.begin(), revisions.end()))
            out.push_back(instance + " returned to a lower revision");
    }
}

}
