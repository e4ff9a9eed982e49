#include "history/history.h"

#include <algorithm>

namespace lycheefield::history {

using namespace std::chrono_literals;

namespace {

constexpr Duration drainNotice = 2s;
/// Servers that one content may fell when it is sent again, whoever sends it.
constexpr std::uint32_t mostFurtherCrashes = 2;

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
    for (const auto& it : cutByDrain)
        out.push_back("a graceful shutdown cut off " + it);
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
    std::set<ShardNumber> named;
    for (const auto& it : answer.covered) {
        named.insert(it.shard);
        const bool isTrue = std::any_of(outputs.begin(), outputs.end(), [&](const auto& output) {
            return output.key.request == call.id && output.shard == it.shard && output.version == answer.version
                && output.epoch == answer.epoch && output.batches == it.batches;
        });
        if (!isTrue)
            out.push_back(nameOf(call) + " claims shard " + std::to_string(it.shard.value()) + " of a snapshot that no server gave");
        if (it.body != call.body)
            out.push_back(nameOf(call) + " holds a result of another request");
    }
    for (const auto& it : answer.missing)
        named.insert(it.shard);
    const auto owed = call.kind == RequestKind::Search ? call.shards : 1;
    if (named.size() != owed || answer.covered.size() + answer.missing.size() != owed)
        out.push_back(nameOf(call) + " does not account for every shard");
}

void History::checkRunState(const CallRecord& call, const Answer& answer, std::vector<std::string>& out) const
{
    const bool hasRun = std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.key.request == call.id; });
    if (answer.runState == RunState::NotRun && (hasRun || hadRunBefore(call)))
        out.push_back(nameOf(call) + " was told not run, and it ran");
    if (answer.runState == RunState::Ran && !hasRun && !call.isReplay)
        out.push_back(nameOf(call) + " was told ran, and it did not");
    if (answer.runState == RunState::Unknown && call.kind == RequestKind::Order && !call.mayBeUnknown)
        out.push_back(nameOf(call) + " was told unknown, and no fault excuses it");
}

/// An order is the same request whichever attempt carries its key.
bool History::hadRunBefore(const CallRecord& call) const
{
    return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
        return it.kind == RequestKind::Order && call.kind == RequestKind::Order && it.body == call.body && it.begun < call.answered;
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
    for (const auto& [server, most] : mostConnections) {
        if (most > connectionCaps.at(server))
            out.push_back(server.value() + " had " + std::to_string(most) + " connections, above its cap");
    }
    for (const auto& [server, began] : drainBegan) {
        const auto it = received.find(server);
        if (it == received.end())
            continue;
        const bool gotWork = std::any_of(it->second.begin(), it->second.end(), [since = began](TimePoint at) { return at > since + drainNotice; });
        if (gotWork)
            out.push_back(server.value() + " got new work more than 2 s after it began to drain");
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
    if (further > mostFurtherCrashes)
        out.push_back("one content, sent again, felled " + std::to_string(further) + " further servers");
    for (const auto& [shard, servers] : byShard) {
        if (servers.size() > 1)
            out.push_back("one content felled both replicas of " + shard);
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
            out.push_back("the store released key " + it.key + ", and its order ran");
        if (it.kind == ClaimRecordKind::Outcome && it.state == RunState::Ran && !ranWith(it.token))
            out.push_back("the store says that key " + it.key + " ran, and it did not");
    }
    for (const auto& it : runs) {
        if (it.kind == RequestKind::Order && !claimed.contains(it.key.request))
            out.push_back("order " + it.body + " ran, and the store holds no claim of its request");
    }
}

void History::checkOperators(std::vector<std::string>& out) const
{
    std::map<RuleRevision, std::string> acceptedBy;
    for (const auto& it : operators) {
        const auto stored = std::find_if(storedRules.begin(), storedRules.end(), [&](const auto& rules) { return rules.second == it.who; });
        const bool isStored = stored != storedRules.end();
        if (it.verdict == ApplyVerdict::Accepted && (!isStored || stored->first != it.revision))
            out.push_back(it.who + " was told accepted, and the store does not hold these rules at that revision");
        if (it.verdict == ApplyVerdict::Refused && isStored)
            out.push_back(it.who + " was told that nothing was changed, and the rules were taken");
        if (it.verdict == ApplyVerdict::None)
            out.push_back(it.who + " was told nothing");
        if (it.verdict == ApplyVerdict::Unknown && !it.mayBeUnknown)
            out.push_back(it.who + " was told unknown, and no fault excuses it");
        if (it.verdict == ApplyVerdict::Accepted && !acceptedBy.emplace(it.revision, it.who).second)
            out.push_back("two operators were both accepted at revision " + std::to_string(it.revision.value()));
    }
}

void History::checkRevisions(std::vector<std::string>& out) const
{
    for (const auto& [instance, revisions] : revisionsSeen) {
        if (!std::is_sorted(revisions.begin(), revisions.end()))
            out.push_back(instance + " went back to a lower revision");
    }
}

}
