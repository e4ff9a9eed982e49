#include "history/recorded_history.h"

#include "claims/claim_log.h"
#include "history/answer_reader.h"
#include "load/answer_check.h"
#include "rules/stored_rules.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace lycheefield::history {

using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// Time after the deadline in which an answer is still accepted: processes on a busy machine are scheduled late.
constexpr Duration processGrace = 500ms;
constexpr std::string_view claimPrefix = "claims/";

std::string textIn(const json::object& line, std::string_view name)
{
    return std::string(line.at(json::string_view(name.data(), name.size())).as_string());
}

std::uint64_t numberIn(const json::object& line, std::string_view name)
{
    return line.at(json::string_view(name.data(), name.size())).to_number<std::uint64_t>();
}

TimePoint timeIn(const json::object& line, std::string_view name)
{
    return TimePoint(Duration(static_cast<std::int64_t>(numberIn(line, name))));
}

RequestKind kindIn(const json::object& line)
{
    const auto text = textIn(line, "kind");
    if (text == "order")
        return RequestKind::Order;
    return text == "record" ? RequestKind::Record : RequestKind::Search;
}

RequestId requestIn(const json::object& line)
{
    return RequestId::parse(textIn(line, "request")).value();
}

LegKey legKeyIn(const json::object& line)
{
    return { requestIn(line), LegNumber(static_cast<std::uint32_t>(numberIn(line, "leg"))), AttemptNumber(static_cast<std::uint32_t>(numberIn(line, "attempt"))) };
}

ShardNumber shardIn(const json::object& line)
{
    return ShardNumber(static_cast<std::uint32_t>(numberIn(line, "shard")));
}

RunRecord readRun(const json::object& line)
{
    return { legKeyIn(line), kindIn(line), ServerName(textIn(line, "server")), shardIn(line), textIn(line, "body"), IndexVersion(numberIn(line, "version")),
        PartitionEpoch(numberIn(line, "epoch")), timeIn(line, "at_us") };
}

OutputRecord readOutput(const json::object& line)
{
    OutputRecord output { legKeyIn(line), shardIn(line), IndexVersion(numberIn(line, "version")), PartitionEpoch(numberIn(line, "epoch")), {} };
    for (const auto& it : line.at("batches").as_array())
        output.batches.emplace_back(std::string(it.as_string()));
    return output;
}

ApplyVerdict verdictOf(const std::string& text)
{
    if (text == "accepted")
        return ApplyVerdict::Accepted;
    if (text == "refused")
        return ApplyVerdict::Refused;
    return text == "unknown" ? ApplyVerdict::Unknown : ApplyVerdict::None;
}

bool overlap(const FaultRecord& fault, TimePoint from, TimePoint to)
{
    return from <= fault.to && fault.from <= to;
}

TimePoint endOf(const CallRecord& call)
{
    return call.answered == never ? call.deadline : call.answered;
}

/// Assigns the batches, which are all stored in the first covered shard, to the shards whose servers returned them.
void assignBatches(Answer& answer, const RequestId& id, const std::vector<OutputRecord>& outputs)
{
    if (answer.covered.empty())
        return;
    const auto all = std::exchange(answer.covered.front().batches, {});
    auto next = all.begin();
    for (auto& covered : answer.covered) {
        for (const auto& it : outputs) {
            const bool isOwn = it.key.request == id && it.shard == covered.shard && it.version == answer.version && it.epoch == answer.epoch;
            const auto n = static_cast<std::ptrdiff_t>(it.batches.size());
            if (!isOwn || all.end() - next < n || !std::equal(it.batches.begin(), it.batches.end(), next))
                continue;
            covered.batches = it.batches;
            next += n;
            break;
        }
    }
    // Batches that no server returned go to the last shard, where checkCoverage reports them.
    answer.covered.back().batches.insert(answer.covered.back().batches.end(), next, all.end());
}

void addClaims(std::string_view body, std::vector<StoreRecord>& out)
{
    const auto records = parseClaimRecords(body);
    if (!records)
        throw std::runtime_error("the claim log in the store is malformed");
    for (const auto& it : *records)
        out.push_back({ it.key.value(), it.token, it.kind, it.state });
}

}

RecordedHistory::RecordedHistory()
{
    m_history.answerGrace = processGrace;
}

void RecordedHistory::add(std::string_view text)
{
    const auto value = json::parse(json::string_view(text.data(), text.size()));
    const auto& line = value.as_object();
    const auto type = textIn(line, "type");
    if (type == "call")
        return addCall(line);
    if (!addServerLine(type, line) && !addScriptLine(type, line))
        throw std::runtime_error("unknown line type: " + type);
}

void RecordedHistory::addCall(const json::object& line)
{
    Call call;
    call.target = textIn(line, "target");
    auto& record = call.record;
    record.kind = kindIn(line);
    record.key = textIn(line, "key");
    record.body = textIn(line, "body");
    record.sent = timeIn(line, "sent_us");
    record.deadline = timeIn(line, "deadline_us");
    record.id = { ProcessLife(), ++m_lastCallNumber };
    if (line.contains("answer"))
        readCallAnswer(line, record);
    m_calls.push_back(std::move(call));
}

void RecordedHistory::readCallAnswer(const json::object& line, CallRecord& record)
{
    const auto answer = textIn(line, "answer");
    const auto checked = checkAnswer(static_cast<unsigned>(numberIn(line, "status")), answer, record.body);
    record.answered = timeIn(line, "answered_us");
    record.id = requestIn(line);
    if (checked.outcome == LoadOutcome::Wrong)
        m_history.malformed.push_back(record.id.toString() + " (" + record.body + ") got an incorrect answer: " + checked.why);
    record.answers.push_back(readAnswer(answer));
}

bool RecordedHistory::addServerLine(const std::string& type, const json::object& line)
{
    if (type == "run")
        m_history.runs.push_back(readRun(line));
    else if (type == "output")
        m_history.outputs.push_back(readOutput(line));
    else if (type == "drain")
        m_history.drainStartedAt[ServerName(textIn(line, "server"))] = timeIn(line, "at_us");
    else if (type == "receive")
        m_history.received[ServerName(textIn(line, "server"))].push_back(timeIn(line, "at_us"));
    else
        return false;
    return true;
}

bool RecordedHistory::addScriptLine(const std::string& type, const json::object& line)
{
    if (type == "connections") {
        const ServerName server(textIn(line, "server"));
        m_history.maxConnections[server] = static_cast<std::uint32_t>(numberIn(line, "most"));
        m_history.connectionCaps[server] = static_cast<std::uint32_t>(numberIn(line, "cap"));
    } else if (type == "service") {
        m_shards = static_cast<std::uint32_t>(numberIn(line, "shards"));
    } else if (type == "fault") {
        m_faults.push_back({ textIn(line, "name"), textIn(line, "target"), timeIn(line, "from_us"), timeIn(line, "to_us"), line.at("excuses_unknown").as_bool() });
    } else if (type == "revision") {
        m_history.observedRevisions[textIn(line, "life")].emplace_back(numberIn(line, "revision"));
    } else if (type == "violation") {
        m_scriptViolations.push_back(textIn(line, "what"));
    } else if (type == "operator") {
        const OperatorRecord record { textIn(line, "who"), verdictOf(textIn(line, "verdict")), RuleRevision(numberIn(line, "revision")), false };
        m_operators.emplace_back(record, timeIn(line, "at_us"));
    } else {
        return false;
    }
    return true;
}

void RecordedHistory::addStore(std::string_view list)
{
    const auto root = json::parse(json::string_view(list.data(), list.size()));
    std::map<std::string, std::string> objects;
    for (const auto& it : root.at("objects").as_array())
        objects[std::string(it.at("key").as_string())] = std::string(it.at("value").as_string());
    auto& records = m_history.storeRecords.emplace();
    for (const auto& [key, value] : objects) {
        if (key == currentRulesKey || key.starts_with(ruleHistoryPrefix)) {
            const auto rules = parseStoredRules(value).value();
            m_history.storedRules[rules.revision] = rules.who;
        }
        if (!key.starts_with(claimPrefix))
            continue;
        if (key.ends_with("/head"))
            addClaims(ClaimLog::parse(value).value().body(), records);
        if (key.find("/segment/") != std::string::npos && !value.empty())
            addClaims(segmentBody(value).value(), records);
    }
}

bool RecordedHistory::isExcused(const Call& call) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const auto& it) { return it.target == call.target && overlap(it, call.record.sent, call.record.deadline); });
}

bool RecordedHistory::mayBeUnknown(const Call& call) const
{
    // The unknown outcome may be that of an earlier request with the same key.
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const Call& earlier) {
        if (earlier.record.key != call.record.key || earlier.record.sent > call.record.sent)
            return false;
        return std::any_of(m_faults.begin(), m_faults.end(), [&](const auto& it) { return it.excusesUnknown && overlap(it, earlier.record.sent, endOf(earlier.record)); });
    });
}

void RecordedHistory::resolveReplay(CallRecord& call) const
{
    if (call.kind != RequestKind::Order || call.answers.empty())
        return;
    auto& answer = call.answers.front();
    const auto ranFor = [&](const RunRecord& it) { return it.kind == RequestKind::Order && it.body == call.body && it.key.request != call.id; };
    const auto first = std::find_if(m_history.runs.begin(), m_history.runs.end(), ranFor);
    if (first == m_history.runs.end())
        return;
    const bool isRecordedAnswer = answer.request == first->key.request;
    const bool isRecordedState = answer.request == call.id && answer.refusal && answer.refusal->kind == ErrorKind::Conflict;
    call.isReplay = isRecordedAnswer || isRecordedState;
    if (!isRecordedAnswer)
        return;
    // The replayed answer is checked against the request that ran, because that request produced it.
    assignBatches(answer, first->key.request, m_history.outputs);
    answer.request = call.id;
}

void RecordedHistory::resolveCalls()
{
    for (auto it : m_calls) {
        auto& call = it.record;
        call.shards = m_shards;
        call.isExcused = isExcused(it);
        call.mayBeUnknown = call.kind != RequestKind::Order || mayBeUnknown(it);
        resolveReplay(call);
        if (!call.isReplay && !call.answers.empty())
            assignBatches(call.answers.front(), call.id, m_history.outputs);
        const auto [known, isNew] = m_history.calls.emplace(call.id, call);
        if (!isNew)
            known->second.answers.insert(known->second.answers.end(), call.answers.begin(), call.answers.end());
    }
}

void RecordedHistory::checkNotVacuous(std::vector<std::string>& out) const
{
    TimePoint lastFault {};
    for (const auto& it : m_faults)
        lastFault = std::max(lastFault, it.from);
    const auto hasCompleteAnswer = [&](RequestKind kind) {
        return std::any_of(m_calls.begin(), m_calls.end(), [&](const Call& it) {
            return it.record.kind == kind && it.record.sent >= lastFault && !it.record.answers.empty() && it.record.answers.front().isComplete();
        });
    };
    for (const auto& [kind, name] : { std::pair(RequestKind::Search, "search"), std::pair(RequestKind::Record, "record"), std::pair(RequestKind::Order, "order") }) {
        if (!hasCompleteAnswer(kind))
            out.push_back(std::string("no ") + name + " got a complete answer after the start of the last fault, so the run proves nothing");
    }
    if (m_faults.empty())
        out.emplace_back("no fault was injected, so the run proves nothing");
    RuleRevision highest;
    for (const auto& [life, revisions] : m_history.observedRevisions)
        highest = std::max(highest, *std::max_element(revisions.begin(), revisions.end()));
    const bool isInForce = std::any_of(m_operators.begin(), m_operators.end(), [&](const auto& it) { return it.first.verdict == ApplyVerdict::Accepted && it.first.revision <= highest; });
    if (!isInForce)
        out.emplace_back("no operator's rules were accepted and observed in force, so the run proves nothing");
}

std::string RecordedHistory::summary() const
{
    std::map<std::string, std::size_t> counts { { "attempts_ran", 0 }, { "attempts_not_run", 0 }, { "attempts_unknown", 0 }, { "no_answer", 0 }, { "resent", 0 } };
    std::set<std::string> keys;
    for (const auto& it : m_calls) {
        const auto& call = it.record;
        if (call.answers.empty())
            ++counts["no_answer"];
        if (call.kind != RequestKind::Order)
            continue;
        if (!keys.insert(call.key).second)
            ++counts["resent"];
        if (call.answers.empty())
            continue;
        const auto state = call.answers.front().runState;
        ++counts[state == RunState::Ran ? "attempts_ran" : state == RunState::NotRun ? "attempts_not_run"
                                                                                     : "attempts_unknown"];
    }
    const auto records = m_history.storeRecords ? m_history.storeRecords->size() : 0;
    std::string text = "calls=" + std::to_string(m_calls.size()) + " orders=" + std::to_string(keys.size());
    for (const auto& [name, n] : counts)
        text += " " + name + "=" + std::to_string(n);
    return text + " legs_run=" + std::to_string(m_history.runs.size()) + " store_records=" + std::to_string(records) + " operators=" + std::to_string(m_operators.size());
}

std::vector<std::string> RecordedHistory::violations()
{
    resolveCalls();
    for (auto& [record, began] : m_operators) {
        record.mayBeUnknown = std::any_of(m_faults.begin(), m_faults.end(), [at = began](const auto& it) { return it.excusesUnknown && it.from <= at && at <= it.to; });
        m_history.operators.push_back(record);
    }
    auto out = m_history.violations(never);
    out.insert(out.end(), m_scriptViolations.begin(), m_scriptViolations.end());
    checkNotVacuous(out);
    return out;
}

}
