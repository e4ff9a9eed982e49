#include "wire/convert.h"

#include "wire/generated/inner_types.h"
#include "wire/gossip_codec.h"

#include <algorithm>
#include <cmath>

namespace lycheefield::wire {

namespace {

/// Converts the values of one envelope and records the first field that is out of range.
class Reader {
public:
    Reader(const SendTime& sent, std::int64_t sentAtMicros, const FrameLimits& limits)
        : m_sent(sent)
        , m_sentAtMicros(sentAtMicros)
        , m_limits(limits)
    {
    }

    bool failed() const { return !m_badField.empty(); }
    const std::string& badField() const { return m_badField; }

    static std::uint64_t number(std::int64_t value) { return static_cast<std::uint64_t>(value); }

    std::uint32_t count(std::int32_t value, const char* field)
    {
        if (value < 0)
            fail(field);
        return static_cast<std::uint32_t>(value);
    }

    double amount(double value, const char* field)
    {
        const bool isValid = std::isfinite(value) && value >= 0;
        if (!isValid)
            fail(field);
        return isValid ? value : 0;
    }

    Duration duration(std::int64_t micros, const char* field)
    {
        if (micros < 0 || micros > m_limits.maxBudget.count())
            fail(field);
        return Duration(micros);
    }

    /// Converts the time that was left until a deadline when the frame was sent.
    TimePoint deadline(std::int64_t micros, const char* field) { return m_sent.startOfLimits() + duration(micros, field); }

    /// Converts the time for which a thing still held when the frame was sent to that for which it holds now.
    Duration timeLeft(std::int64_t micros, const char* field) { return std::max(Duration {}, duration(micros, field) - (m_sent.latest - m_sent.earliest.value_or(m_sent.latest))); }

    /// Converts an age; the epoch if it is not known when the frame was sent.
    TimePoint timeBefore(std::int64_t micros, const char* field)
    {
        const auto age = duration(micros, field);
        return m_sent.earliest ? *m_sent.earliest - age : TimePoint {};
    }

    /// Converts a time on the sender's clock that was past when the frame was sent; the epoch stands for no time, and for any time if it is
    /// not known when the frame was sent.
    TimePoint senderTime(std::int64_t micros, const char* field)
    {
        if (micros < 0)
            fail(field);
        const bool isKnown = micros > 0 && micros <= m_sentAtMicros && m_sent.earliest;
        return isKnown ? std::min(m_sent.latest, *m_sent.earliest + Duration(micros - m_sentAtMicros)) : TimePoint {};
    }

    template <typename Enum>
    Enum enumValue(std::int32_t value, Enum last, const char* field)
    {
        if (value < 0 || value > static_cast<std::int32_t>(last))
            fail(field);
        return static_cast<Enum>(value);
    }

    std::string name(std::string& value, const char* field)
    {
        if (value.empty())
            fail(field);
        return std::move(value);
    }

    void reject(const char* field) { fail(field); }

private:
    void fail(const char* field)
    {
        if (m_badField.empty())
            m_badField = field;
    }

    SendTime m_sent;
    std::int64_t m_sentAtMicros; ///< On the sender's clock.
    const FrameLimits& m_limits;
    std::string m_badField;
};

RequestId requestId(std::int64_t life, std::int64_t counter)
{
    return { ProcessLife(Reader::number(life)), Reader::number(counter) };
}

lycheefield::LegKey fromWire(const LegKey& in, Reader& reader)
{
    return { requestId(in.requestLife, in.requestCounter), LegNumber(reader.count(in.leg, "leg")), AttemptNumber(reader.count(in.attempt, "attempt")) };
}

lycheefield::LegOrder fromWire(LegOrder& in, Reader& reader)
{
    lycheefield::LegOrder out;
    out.leg = LegNumber(reader.count(in.leg, "leg"));
    out.attempt = AttemptNumber(reader.count(in.attempt, "attempt"));
    out.shard = ShardNumber(reader.count(in.shard, "shard"));
    out.server = ServerName(reader.name(in.server, "server"));
    out.isHedge = in.isHedge;
    return out;
}

lycheefield::WorkOrder fromWire(WorkOrder& in, Reader& reader)
{
    lycheefield::WorkOrder out;
    out.request = requestId(in.requestLife, in.requestCounter);
    out.entry = InstanceName(reader.name(in.entry, "entry"));
    out.service = ServiceName(reader.name(in.serviceName, "serviceName"));
    out.kind = reader.enumValue(in.kind, RequestKind::Order, "kind");
    out.priority = reader.enumValue(in.priority, Priority::Batch, "priority");
    out.deadline = reader.deadline(in.budgetMicros, "budgetMicros");
    out.version = IndexVersion(Reader::number(in.indexVersion));
    out.epoch = PartitionEpoch(Reader::number(in.partitionEpoch));
    out.fingerprint = Fingerprint(Reader::number(in.fingerprint));
    out.body = std::make_shared<const std::string>(std::move(in.body));
    out.traceparent = std::move(in.traceparent);
    out.legs.reserve(in.legs.size());
    for (auto& it : in.legs)
        out.legs.push_back(fromWire(it, reader));
    return out;
}

lycheefield::ServerState fromWire(ServerState& in, Reader& reader)
{
    lycheefield::ServerState out;
    out.server = ServerName(std::move(in.server));
    out.inFlight = reader.count(in.inFlight, "inFlight");
    out.queued = reader.count(in.queued, "queued");
    out.slots = reader.count(in.slots, "slots");
    for (const auto it : in.versions)
        out.versions.emplace_back(Reader::number(it));
    out.draining = in.draining;
    out.ejected = in.ejected;
    out.recentLatency = reader.duration(in.recentLatencyMicros, "recentLatencyMicros");
    for (const auto it : { Priority::Van, Priority::Desk, Priority::Batch }) {
        const auto n = static_cast<std::size_t>(it);
        if (n < in.queuedBy.size())
            out.queuedBy.at(it) = reader.count(in.queuedBy[n], "queuedBy");
    }
    return out;
}

lycheefield::LegResult fromWire(LegResult& in, Reader& reader)
{
    lycheefield::LegResult out;
    out.key = fromWire(in.key, reader);
    out.shard = ShardNumber(reader.count(in.shard, "shard"));
    out.outcome = reader.enumValue(in.outcome, LegOutcome::NotHeld, "outcome");
    out.version = IndexVersion(Reader::number(in.indexVersion));
    out.epoch = PartitionEpoch(Reader::number(in.partitionEpoch));
    for (auto& it : in.batches)
        out.batches.emplace_back(std::move(it));
    out.body = std::move(in.body);
    out.state = fromWire(in.state, reader);
    out.queueTime = reader.duration(in.queueMicros, "queueMicros");
    out.serviceTime = reader.duration(in.serviceMicros, "serviceMicros");
    out.crashed = in.crashed;
    out.retryAfter = reader.duration(in.retryAfterMicros, "retryAfterMicros");
    out.detail = std::move(in.detail);
    return out;
}

/// Returns the value of a conversion that does its own checks, or rejects the field if it failed.
template <typename T>
T valueOrReject(Result<T> result, Reader& reader, const char* field)
{
    if (result)
        return std::move(result).value();
    reader.reject(field);
    return T();
}

lycheefield::Control fromWire(Control& in)
{
    return { Reader::number(in.sequence), std::move(in.verb), std::move(in.argument), in.isAnswer, std::move(in.payload) };
}

lycheefield::ClaimCall fromWire(ClaimCall& in, Reader& reader)
{
    lycheefield::ClaimCall out;
    out.request.request = { ProcessLife(Reader::number(in.requestLife)), Reader::number(in.requestCounter) };
    out.request.key = IdempotencyKey(std::move(in.key));
    out.request.fingerprint = Fingerprint(Reader::number(in.fingerprint));
    out.request.deadline = reader.deadline(in.budgetMicros, "budgetMicros");
    if (in.__isset.settledAs)
        out.settledAs = reader.enumValue(in.settledAs, RunState::Unknown, "settledAs");
    out.answer = std::move(in.answer);
    return out;
}

lycheefield::ClaimReply fromWire(ClaimReply& in, Reader& reader)
{
    lycheefield::ClaimReply out;
    out.decided.request = { ProcessLife(Reader::number(in.requestLife)), Reader::number(in.requestCounter) };
    out.decided.verdict = reader.enumValue(in.verdict, ClaimVerdict::StoreUnavailable, "verdict");
    if (in.__isset.recordedState)
        out.decided.recordedState = reader.enumValue(in.recordedState, RunState::Unknown, "recordedState");
    out.decided.recordedAnswer = std::move(in.recordedAnswer);
    out.isSettled = in.isSettled;
    return out;
}

lycheefield::SearchCall fromWire(SearchCall& in, Reader& reader)
{
    lycheefield::SearchCall out;
    out.sequence = Reader::number(in.sequence);
    out.tableVersion = Reader::number(in.tableVersion);
    out.route = reader.name(in.route, "route");
    out.limits = { Reader::number(in.topRecords), reader.count(in.maxRuns, "maxRuns") };
    out.attemptId = reader.name(in.attemptId, "attemptId");
    out.message.method = reader.name(in.method, "method");
    out.message.target = reader.name(in.target, "target");
    for (auto& it : in.shards)
        out.shards.emplace_back(reader.name(it, "shards"));
    for (auto& it : in.headers)
        out.message.headers.add(std::move(it.name), std::move(it.value));
    out.message.body = std::move(in.body);
    out.deadline = reader.deadline(in.budgetMicros, "budgetMicros");
    out.answerBy = reader.deadline(in.answerMicros, "answerMicros");
    out.content = Fingerprint(Reader::number(in.content));
    out.team = TeamName(std::move(in.team));
    out.teamRank = reader.count(in.teamRank, "teamRank");
    return out;
}

lycheefield::SearchNote fromWire(SearchNote& in, Reader& reader)
{
    lycheefield::SearchNote out;
    out.sequence = Reader::number(in.sequence);
    out.kind = reader.enumValue(in.kind, SearchNoteKind::ExtraAttemptsGranted, "kind");
    for (const auto it : in.positions)
        out.positions.push_back(reader.count(it, "positions"));
    return out;
}

lycheefield::StoreNews fromWire(StoreNews& in, Reader& reader)
{
    lycheefield::StoreNews out;
    out.prefix = reader.name(in.prefix, "prefix");
    out.from = { Reader::number(in.fromEpoch), Reader::number(in.fromRevision) };
    out.revision = { Reader::number(in.epoch), Reader::number(in.revision) };
    out.currentAsOf = reader.timeBefore(in.ageMicros, "ageMicros");
    for (auto& it : in.changed)
        out.changed.push_back({ reader.name(it.key, "key"), ObjectVersion { Reader::number(it.version) }, std::move(it.value) });
    out.removed = std::move(in.removed);
    out.confirmedAt = reader.senderTime(in.confirmedAtMicros, "confirmedAtMicros");
    out.isComparison = in.isComparison;
    return out;
}

lycheefield::QuotaCall fromWire(QuotaCall& in, Reader& reader)
{
    lycheefield::QuotaCall out;
    out.sequence = Reader::number(in.sequence);
    for (auto& it : in.wishes)
        out.wishes.push_back({ TeamName(reader.name(it.team, "team")), reader.count(it.requests, "requests"), it.isForKeeper });
    return out;
}

lycheefield::QuotaReply fromWire(QuotaReply& in, Reader& reader)
{
    lycheefield::QuotaReply out;
    out.sequence = Reader::number(in.sequence);
    for (auto& it : in.grants) {
        out.grants.push_back({ TeamName(reader.name(it.team, "team")), reader.count(it.permits, "permits"), reader.duration(it.lifetimeMicros, "lifetimeMicros"),
            reader.duration(it.retryAfterMicros, "retryAfterMicros") });
    }
    return out;
}

lycheefield::TeamRole fromWire(TeamRole& in, Reader& reader)
{
    return { TeamName(reader.name(in.team, "team")), reader.enumValue(in.role, QuotaRole::Standby, "role") };
}

lycheefield::RoleClaim fromWire(RoleClaim& in, Reader& reader)
{
    lycheefield::RoleClaim out { Reader::number(in.sequence), { Reader::number(in.epoch), Reader::number(in.revision) }, Reader::number(in.membersHash), {} };
    for (auto& it : in.roles)
        out.roles.push_back(fromWire(it, reader));
    return out;
}

lycheefield::RoleClaimReply fromWire(RoleClaimReply& in, Reader& reader)
{
    lycheefield::RoleClaimReply out { Reader::number(in.sequence), {} };
    for (auto& it : in.answers) {
        const QuotaCredit credit { reader.amount(it.creditLevel, "creditLevel"), reader.count(it.creditOutstanding, "creditOutstanding") };
        auto& answer = out.answers.emplace_back(lycheefield::RoleAnswer { fromWire(it.role, reader), reader.enumValue(it.verdict, RoleVerdict::Outdated, "verdict"), credit });
        for (auto& claimant : it.claimants)
            answer.claimants.emplace_back(reader.name(claimant, "claimants"));
    }
    return out;
}

lycheefield::SearchReply fromWire(SearchReply& in, Reader& reader)
{
    lycheefield::SearchReply out;
    out.sequence = Reader::number(in.sequence);
    out.answer.kind = reader.enumValue(in.kind, ForwardAnswerKind::TimedOut, "kind");
    out.answer.signatures = std::move(in.signatures);
    for (const auto it : in.coveredShards)
        out.answer.coveredShards.push_back(reader.count(it, "coveredShards"));
    for (const auto it : in.runs)
        out.answer.runs.push_back(reader.count(it, "runs"));
    if (out.answer.coveredShards.size() != out.answer.signatures.size())
        reader.reject("coveredShards");
    out.answer.missingShards = reader.count(in.missingShards, "missingShards");
    out.answer.message.body = std::move(in.body);
    out.answer.retryAfter = reader.duration(in.retryAfterMicros, "retryAfterMicros");
    out.answer.reason = std::move(in.reason);
    return out;
}

LegResults fromWire(std::vector<LegResult>& in, Reader& reader)
{
    LegResults out;
    out.results.reserve(in.size());
    for (auto& it : in)
        out.results.push_back(fromWire(it, reader));
    return out;
}

ServerStateUpdate fromWire(std::vector<ServerState>& in, Reader& reader)
{
    ServerStateUpdate out;
    out.servers.reserve(in.size());
    for (auto& it : in)
        out.servers.push_back(fromWire(it, reader));
    return out;
}

int countBodies(const Envelope& in)
{
    const auto& set = in.__isset;
    return set.hello + set.work + set.cancel + set.results + set.servers + set.crash + set.gossip + set.ruleRequest + set.ruleDelta + set.control + set.claimCall + set.claimReply
        + set.searchCall + set.searchNote + set.searchReply + set.storeNews + set.storeStateRequest + set.quotaCall + set.quotaReply + set.clockCall + set.clockReply
        + set.roleClaim + set.roleClaimReply + set.roleResignation;
}

/// Precondition: exactly one body field is set.
PeerMessage readBody(Envelope& in, Reader& reader)
{
    const auto& set = in.__isset;
    if (set.hello) {
        return lycheefield::Hello { InstanceName(reader.name(in.hello.instance, "instance")), ProcessLife(Reader::number(in.hello.life)),
            ZoneName(std::move(in.hello.zone)) };
    }
    if (set.work)
        return fromWire(in.work, reader);
    if (set.cancel)
        return CancelLeg { fromWire(in.cancel, reader) };
    if (set.results)
        return fromWire(in.results, reader);
    if (set.servers)
        return fromWire(in.servers, reader);
    if (set.crash) {
        AnnounceCrash crash { Fingerprint(Reader::number(in.crash.fingerprint)), reader.count(in.crash.crashes, "crashes"),
            reader.timeLeft(in.crash.quarantineMicros, "quarantineMicros") };
        if (in.crash.__isset.server)
            crash.location = { ServerName(reader.name(in.crash.server, "server")), ShardNumber(reader.count(in.crash.shard, "shard")) };
        if (in.crash.__isset.serviceName)
            crash.service = ServiceName(reader.name(in.crash.serviceName, "serviceName"));
        return crash;
    }
    if (set.gossip)
        return valueOrReject(lycheefield::fromWire(in.gossip), reader, "gossip");
    if (set.ruleRequest)
        return lycheefield::RuleRequest { RuleRevision(Reader::number(in.ruleRequest.haveRevision)) };
    if (set.ruleDelta)
        return valueOrReject(lycheefield::fromWire(in.ruleDelta), reader, "ruleDelta");
    if (set.claimCall)
        return fromWire(in.claimCall, reader);
    if (set.claimReply)
        return fromWire(in.claimReply, reader);
    if (set.searchCall)
        return fromWire(in.searchCall, reader);
    if (set.searchNote)
        return fromWire(in.searchNote, reader);
    if (set.searchReply)
        return fromWire(in.searchReply, reader);
    if (set.storeNews)
        return fromWire(in.storeNews, reader);
    if (set.storeStateRequest)
        return lycheefield::StoreStateRequest { reader.name(in.storeStateRequest.prefix, "prefix") };
    if (set.quotaCall)
        return fromWire(in.quotaCall, reader);
    if (set.quotaReply)
        return fromWire(in.quotaReply, reader);
    if (set.clockCall)
        return lycheefield::ClockCall { TimePoint(Duration(in.clockCall.sentAtMicros)) };
    if (set.clockReply)
        return lycheefield::ClockReply { TimePoint(Duration(in.clockReply.sentAtMicros)), TimePoint(Duration(in.clockReply.nowMicros)) };
    if (set.roleClaim)
        return fromWire(in.roleClaim, reader);
    if (set.roleClaimReply)
        return fromWire(in.roleClaimReply, reader);
    if (set.roleResignation)
        return lycheefield::RoleResignation { ProcessLife(Reader::number(in.roleResignation.life)), in.roleResignation.hasEnded };
    return fromWire(in.control);
}

}

Result<PeerMessage> fromEnvelope(Envelope& in, const SendTime& sent, const FrameLimits& limits)
{
    const int n = countBodies(in);
    if (n == 0)
        return Error { ErrorKind::NotFound, "frame has no message of a kind that this release knows; the frame is skipped", "no action needed during an upgrade; otherwise run the same release on all instances" };
    if (n > 1)
        return Error { ErrorKind::InvalidInput, "frame has " + std::to_string(n) + " messages, expected 1", "run the same release on all instances" };
    Reader reader(sent, in.sentAtMicros, limits);
    PeerMessage message = readBody(in, reader);
    if (reader.failed())
        return Error { ErrorKind::InvalidInput, "field " + reader.badField() + " of a frame is out of range", "run the same release on all instances" };
    return message;
}

}
