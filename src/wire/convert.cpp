#include "wire/convert.h"

#include "wire/generated/inner_types.h"
#include "wire/gossip_codec.h"

#include <algorithm>
#include <initializer_list>

namespace lycheefield::wire {

namespace {

std::int64_t toSigned(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::int32_t toSigned(std::uint32_t value)
{
    return static_cast<std::int32_t>(value);
}

std::int64_t timeLeft(TimePoint deadline, TimePoint now)
{
    return std::max<std::int64_t>(0, (deadline - now).count());
}

LegKey toWire(const lycheefield::LegKey& key)
{
    LegKey out;
    out.requestLife = toSigned(key.request.life.value());
    out.requestCounter = toSigned(key.request.counter);
    out.leg = toSigned(key.leg.value());
    out.attempt = toSigned(key.attempt.value());
    return out;
}

LegOrder toWire(const lycheefield::LegOrder& leg)
{
    LegOrder out;
    out.leg = toSigned(leg.leg.value());
    out.attempt = toSigned(leg.attempt.value());
    out.shard = toSigned(leg.shard.value());
    out.server = leg.server.value();
    if (leg.isHedge)
        out.__set_isHedge(true);
    return out;
}

TeamRole toWire(const lycheefield::TeamRole& role)
{
    TeamRole out;
    out.team = role.team.value();
    out.role = static_cast<std::int32_t>(role.role);
    return out;
}

WorkOrder toWire(const lycheefield::WorkOrder& work, TimePoint now)
{
    WorkOrder out;
    out.requestLife = toSigned(work.request.life.value());
    out.requestCounter = toSigned(work.request.counter);
    out.entry = work.entry.value();
    out.serviceName = work.service.value();
    out.kind = static_cast<std::int32_t>(work.kind);
    out.priority = static_cast<std::int32_t>(work.priority);
    out.budgetMicros = timeLeft(work.deadline, now);
    out.indexVersion = toSigned(work.version.value());
    out.partitionEpoch = toSigned(work.epoch.value());
    out.fingerprint = toSigned(work.fingerprint.value());
    if (work.body)
        out.body = *work.body;
    if (!work.traceparent.empty())
        out.__set_traceparent(work.traceparent);
    out.legs.reserve(work.legs.size());
    for (const auto& it : work.legs)
        out.legs.push_back(toWire(it));
    return out;
}

ServerState toWire(const lycheefield::ServerState& state)
{
    ServerState out;
    out.server = state.server.value();
    out.inFlight = toSigned(state.inFlight);
    out.queued = toSigned(state.queued);
    out.slots = toSigned(state.slots);
    for (const auto& it : state.versions)
        out.versions.push_back(toSigned(it.value()));
    out.draining = state.draining;
    out.ejected = state.ejected;
    out.recentLatencyMicros = state.recentLatency.count();
    out.__isset.queuedBy = true;
    for (const auto it : { Priority::Van, Priority::Desk, Priority::Batch })
        out.queuedBy.push_back(toSigned(state.queuedBy.at(it)));
    return out;
}

LegResult toWire(const lycheefield::LegResult& result)
{
    LegResult out;
    out.key = toWire(result.key);
    out.shard = toSigned(result.shard.value());
    out.outcome = static_cast<std::int32_t>(result.outcome);
    out.indexVersion = toSigned(result.version.value());
    out.partitionEpoch = toSigned(result.epoch.value());
    for (const auto& it : result.batches)
        out.batches.push_back(it.value());
    out.body = result.body;
    out.state = toWire(result.state);
    out.queueMicros = result.queueTime.count();
    out.serviceMicros = result.serviceTime.count();
    if (result.crashed)
        out.__set_crashed(true);
    if (result.retryAfter != Duration {})
        out.__set_retryAfterMicros(result.retryAfter.count());
    if (!result.detail.empty())
        out.__set_detail(result.detail);
    return out;
}

/// Writes each kind of message into its field of the envelope.
struct EnvelopeWriter {
    TimePoint now;
    Envelope& out;

    void operator()(const lycheefield::Hello& hello) const
    {
        Hello body;
        body.instance = hello.instance.value();
        body.life = toSigned(hello.life.value());
        body.zone = hello.zone.value();
        out.__set_hello(body);
    }
    void operator()(const lycheefield::WorkOrder& work) const
    {
        out.work = toWire(work, now);
        out.__isset.work = true;
    }
    void operator()(const CancelLeg& cancel) const { out.__set_cancel(toWire(cancel.key)); }
    void operator()(const LegResults& message) const
    {
        out.results.reserve(message.results.size());
        for (const auto& it : message.results)
            out.results.push_back(toWire(it));
        out.__isset.results = true;
    }
    void operator()(const ServerStateUpdate& news) const
    {
        for (const auto& it : news.servers)
            out.servers.push_back(toWire(it));
        out.__isset.servers = true;
    }
    void operator()(const AnnounceCrash& crash) const
    {
        CrashNews body;
        body.fingerprint = toSigned(crash.fingerprint.value());
        body.crashes = toSigned(crash.crashes);
        body.quarantineMicros = crash.quarantine.count();
        if (!crash.location.server.value().empty()) {
            body.__set_server(crash.location.server.value());
            body.__set_shard(toSigned(crash.location.shard.value()));
        }
        if (!crash.service.value().empty())
            body.__set_serviceName(crash.service.value());
        out.__set_crash(body);
    }
    void operator()(const GossipMessage& gossip) const { out.__set_gossip(lycheefield::toWire(gossip)); }
    void operator()(const lycheefield::RuleRequest& request) const
    {
        RuleRequest body;
        body.haveRevision = toSigned(request.haveRevision.value());
        out.__set_ruleRequest(body);
    }
    void operator()(const lycheefield::RuleDelta& delta) const { out.__set_ruleDelta(lycheefield::toWire(delta)); }
    void operator()(const lycheefield::Control& control) const
    {
        Control body;
        body.sequence = toSigned(control.sequence);
        body.verb = control.verb;
        body.argument = control.argument;
        if (control.isAnswer)
            body.__set_isAnswer(true);
        if (!control.payload.empty())
            body.__set_payload(control.payload);
        out.__set_control(body);
    }
    void operator()(const lycheefield::ClaimCall& call) const
    {
        ClaimCall body;
        body.requestLife = toSigned(call.request.request.life.value());
        body.requestCounter = toSigned(call.request.request.counter);
        body.key = call.request.key.value();
        body.fingerprint = toSigned(call.request.fingerprint.value());
        body.budgetMicros = timeLeft(call.request.deadline, now);
        if (call.settledAs) {
            body.__set_settledAs(static_cast<std::int32_t>(*call.settledAs));
            body.__set_answer(call.answer);
        }
        out.__set_claimCall(body);
    }
    void operator()(const lycheefield::ClaimReply& reply) const
    {
        ClaimReply body;
        body.requestLife = toSigned(reply.decided.request.life.value());
        body.requestCounter = toSigned(reply.decided.request.counter);
        body.verdict = static_cast<std::int32_t>(reply.decided.verdict);
        if (reply.decided.verdict == ClaimVerdict::AlreadyDone) {
            body.__set_recordedState(static_cast<std::int32_t>(reply.decided.recordedState));
            body.__set_recordedAnswer(reply.decided.recordedAnswer);
        }
        if (reply.isSettled)
            body.__set_isSettled(true);
        out.__set_claimReply(body);
    }
    void operator()(const lycheefield::SearchCall& call) const
    {
        SearchCall body;
        body.sequence = toSigned(call.sequence);
        body.tableVersion = toSigned(call.tableVersion);
        body.route = call.route;
        body.__set_topRecords(toSigned(call.limits.topRecords));
        body.__set_maxRuns(static_cast<std::int32_t>(call.limits.maxRuns));
        body.attemptId = call.attemptId;
        body.method = call.message.method;
        body.target = call.message.target;
        for (const auto& [name, value] : call.message.headers.fields()) {
            HeaderField field;
            field.name = name;
            field.value = value;
            body.headers.push_back(std::move(field));
        }
        body.body = call.message.body;
        for (const auto& it : call.shards)
            body.shards.push_back(it.value());
        body.budgetMicros = timeLeft(call.deadline, now);
        body.answerMicros = timeLeft(call.answerBy, now);
        body.__set_content(toSigned(call.content.value()));
        if (!call.team.value().empty()) {
            body.__set_team(call.team.value());
            body.__set_teamRank(toSigned(call.teamRank));
        }
        out.__set_searchCall(body);
    }
    void operator()(const lycheefield::SearchNote& note) const
    {
        SearchNote body;
        body.sequence = toSigned(note.sequence);
        body.kind = static_cast<std::int32_t>(note.kind);
        std::vector<std::int32_t> positions;
        for (const auto it : note.positions)
            positions.push_back(toSigned(it));
        if (!positions.empty())
            body.__set_positions(positions);
        out.__set_searchNote(body);
    }
    void operator()(const lycheefield::StoreNews& news) const
    {
        StoreNews body;
        body.prefix = news.prefix;
        body.fromRevision = toSigned(news.from.number);
        body.revision = toSigned(news.revision.number);
        // A receiver refuses frames with longer times; no state is current that long.
        const auto maxAge = FrameLimits().maxBudget;
        const auto age = news.currentAsOf == TimePoint {} ? maxAge : Duration(now - news.currentAsOf);
        body.ageMicros = std::clamp(age, Duration {}, maxAge).count();
        std::vector<StoreObject> changed(news.changed.size());
        for (std::size_t i = 0; i < changed.size(); ++i) {
            changed[i].key = news.changed[i].key;
            changed[i].version = toSigned(news.changed[i].version.value);
            changed[i].value = news.changed[i].value;
        }
        if (!changed.empty())
            body.__set_changed(changed);
        if (!news.removed.empty())
            body.__set_removed(news.removed);
        if (news.confirmedAt != TimePoint {})
            body.__set_confirmedAtMicros(news.confirmedAt.time_since_epoch().count());
        if (news.revision.epoch > 0) {
            body.__set_fromEpoch(toSigned(news.from.epoch));
            body.__set_epoch(toSigned(news.revision.epoch));
        }
        if (news.isComparison)
            body.__set_isComparison(true);
        out.__set_storeNews(body);
    }
    void operator()(const lycheefield::StoreStateRequest& request) const
    {
        StoreStateRequest body;
        body.prefix = request.prefix;
        out.__set_storeStateRequest(body);
    }
    void operator()(const lycheefield::QuotaCall& call) const
    {
        QuotaCall body;
        body.sequence = toSigned(call.sequence);
        for (const auto& it : call.wishes) {
            QuotaWish wish;
            wish.team = it.team.value();
            wish.requests = toSigned(it.requests);
            if (it.isForKeeper)
                wish.__set_isForKeeper(true);
            body.wishes.push_back(std::move(wish));
        }
        out.__set_quotaCall(body);
    }
    void operator()(const lycheefield::QuotaReply& reply) const
    {
        QuotaReply body;
        body.sequence = toSigned(reply.sequence);
        for (const auto& it : reply.grants) {
            QuotaGrant grant;
            grant.team = it.team.value();
            grant.permits = toSigned(it.permits);
            grant.lifetimeMicros = it.lifetime.count();
            grant.retryAfterMicros = it.retryAfter.count();
            body.grants.push_back(std::move(grant));
        }
        out.__set_quotaReply(body);
    }
    void operator()(const lycheefield::RoleClaim& claim) const
    {
        RoleClaim body;
        body.sequence = toSigned(claim.sequence);
        body.epoch = toSigned(claim.revision.epoch);
        body.revision = toSigned(claim.revision.number);
        body.membersHash = toSigned(claim.membersHash);
        for (const auto& it : claim.roles)
            body.roles.push_back(toWire(it));
        out.__set_roleClaim(body);
    }
    void operator()(const lycheefield::RoleClaimReply& reply) const
    {
        RoleClaimReply body;
        body.sequence = toSigned(reply.sequence);
        for (const auto& it : reply.answers) {
            RoleAnswer answer;
            answer.role = toWire(it.role);
            answer.verdict = static_cast<std::int32_t>(it.verdict);
            answer.__set_creditLevel(it.credit.level);
            answer.__set_creditOutstanding(toSigned(it.credit.outstanding));
            for (const auto& claimant : it.claimants)
                answer.claimants.push_back(claimant.value());
            answer.__isset.claimants = !answer.claimants.empty();
            body.answers.push_back(std::move(answer));
        }
        out.__set_roleClaimReply(body);
    }
    void operator()(const lycheefield::RoleResignation& resignation) const
    {
        RoleResignation body;
        body.life = toSigned(resignation.life.value());
        body.__set_hasEnded(resignation.hasEnded);
        out.__set_roleResignation(body);
    }
    void operator()(const lycheefield::ClockCall& call) const
    {
        ClockCall body;
        body.sentAtMicros = call.sentAt.time_since_epoch().count();
        out.__set_clockCall(body);
    }
    void operator()(const lycheefield::ClockReply& reply) const
    {
        ClockReply body;
        body.sentAtMicros = reply.sentAt.time_since_epoch().count();
        body.nowMicros = reply.now.time_since_epoch().count();
        out.__set_clockReply(body);
    }
    void operator()(const lycheefield::SearchReply& reply) const
    {
        SearchReply body;
        body.sequence = toSigned(reply.sequence);
        body.kind = static_cast<std::int32_t>(reply.answer.kind);
        body.signatures = reply.answer.signatures;
        for (const auto it : reply.answer.coveredShards)
            body.coveredShards.push_back(toSigned(it));
        for (const auto it : reply.answer.runs)
            body.runs.push_back(toSigned(it));
        body.missingShards = static_cast<std::int32_t>(reply.answer.missingShards);
        body.body = reply.answer.message.body;
        body.__set_retryAfterMicros(reply.answer.retryAfter.count());
        body.__set_reason(reply.answer.reason);
        out.__set_searchReply(body);
    }
};

}

void toEnvelope(const PeerMessage& message, TimePoint now, Envelope& out)
{
    std::visit(EnvelopeWriter { now, out }, message);
}

}
