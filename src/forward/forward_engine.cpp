#include "forward/forward_engine.h"

#include "base/fingerprint.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// An idempotent attempt whose response is no longer needed is cancelled this many target latencies, but
/// at least minAbandonedTime, after it was sent, so that a hanging server does not hold a connection.
constexpr int abandonedTargetLatencies = 2;
constexpr Duration minAbandonedTime = 500ms;
/// A non-idempotent attempt is cancelled only this long after the request's deadline.
constexpr Duration graceAfterDeadline = 2s;
/// The last possible answer is sent this long before the deadline, so that it arrives before the caller gives up.
constexpr Duration finalAnswerMargin = 15ms;
/// Processor time on one full core for one shard's part in merging and writing a search's answer.
constexpr Duration mergeTimePerShard = 5us;
/// The target latency includes the network and the merging, but neither a distant caller nor a slow processor shortens
/// the wait for the parts by more than this share of it.
constexpr double maxReservedShare = 0.25;
/// Characters of a request's target in a log line.
constexpr std::size_t maxLoggedTarget = 80;
/// Servers that crash at one moment from which content is suspect.
constexpr std::uint32_t minSuspectServers = 3;
/// Time after the last crash for which evidence is kept and content is quarantined.
constexpr Duration crashRetention = std::chrono::hours(1);

}

ForwardEngine::ForwardEngine(ForwardSettings settings, std::unique_ptr<RandomSource> random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
    , m_pool(m_settings, *m_random)
    , m_evidence(CrashPolicy { .minSuspectCrashes = minSuspectCrashes, .minSuspectServers = minSuspectServers, .needsConfirmation = true, .retention = crashRetention })
{
}

ForwardEngine::Request* ForwardEngine::find(RequestNumber number)
{
    const auto it = m_requests.find(number);
    return it == m_requests.end() ? nullptr : &it->second;
}

ExtraAttemptBudgetLimits ForwardEngine::budgetLimits() const
{
    return { m_settings.retryRatio, slackShare(m_settings.retrySlack, m_pool.instances()), m_settings.retryWindow };
}

Duration ForwardEngine::timeToAnswer(const Request& request) const
{
    const auto target = request.route().targetLatency;
    const auto maxReserved = scaled(target, maxReservedShare);
    const auto networkTime = std::min(request.request.networkTime, maxReserved);
    const auto shards = static_cast<Duration::rep>(request.route().shards.size());
    const auto mergeTime = std::min(scaled(mergeTimePerShard * shards, 1 / m_settings.cores.value), maxReserved);
    return std::max(Duration {}, target - networkTime - mergeTime - m_settings.answerMargin);
}

bool ForwardEngine::endsTooLate(const Request& request, TimePoint now) const
{
    if (m_end == never)
        return false;
    const auto target = request.route().targetLatency;
    const auto it = m_times.find(request.route().name);
    const auto expected = it == m_times.end() ? target : it->second.quantile95(target);
    return now + expected > m_end;
}

void ForwardEngine::start(ForwardRequest request, TimePoint now, ForwardActions& actions)
{
    ++m_counters.requests;
    const auto number = request.number;
    auto& it = m_requests[number];
    it.request = std::move(request);
    it.startedAt = it.request.readAt;
    const auto& route = it.route();
    it.deadline = std::min({ it.request.deadline, it.startedAt + route.timeout, m_end }) - finalAnswerMargin;
    if (route.isSearch()) {
        it.answerBy = std::min(it.request.answerBy, it.startedAt + timeToAnswer(it));
        for (const auto& shard : it.request.isPart() ? it.request.onlyShards : route.shards)
            it.legs.emplace_back().service = shard;
    } else {
        it.legs.emplace_back().service = m_splits.pick(route);
    }
    if (quarantineRemaining(it, now) > Duration {} || endsTooLate(it, now))
        return finish(it, now, actions);
    const auto servable = std::count_if(it.legs.begin(), it.legs.end(), [&](const Leg& leg) { return m_pool.hasServers(leg.service); });
    if (static_cast<std::size_t>(servable) < it.needed())
        return finish(it, now, actions);
    if (it.request.isPart() && route.maxRuns > 1) {
        it.mayUseExtraAttempts = false;
        // The grant takes a round trip to the delegating instance.
        it.requestExtraAt = now + std::max(Duration {}, hedgeDelay(it) - m_settings.crossZoneCost);
    }
    if (!shedLimitedLegs(it, now)) {
        ++m_counters.limitedRequests;
        return finish(it, now, actions);
    }
    if (isHopeless(it, now)) {
        ++m_counters.refusedEarly;
        return finish(it, now, actions);
    }
    // The legs of suspect content wait for its probe.
    if (route.isSearch() && standingOf(it, now) == ContentStanding::Clear) {
        delegateLegs(it, now, actions);
        shedLegs(it, now);
    }
    for (auto& leg : it.legs)
        leg.hedgeAt = now;
    review(it, now, actions);
}

void ForwardEngine::onResponse(ServerRequestId id, const ServerResponse& response, TimePoint now, ForwardActions& actions)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    forgetAttempt(id, now);
    recordServerResponse(attempt, response, now);
    if (response.kind == ServerResponseKind::Served)
        recordServed(attempt, now, actions);
    auto* request = find(attempt.request);
    if (!request) {
        sendNextQueued(attempt.server->entry.service, now, actions);
        return;
    }
    auto& leg = request->legs[attempt.leg];
    std::erase(leg.inFlight, id);
    const bool isRefused = response.kind == ServerResponseKind::NotRun || response.kind == ServerResponseKind::WrongServer;
    if (isRefused)
        --leg.mayHaveRun;
    else
        request->mayHaveRun = true;
    if (isWaiting(leg)) {
        if (response.kind == ServerResponseKind::Failed)
            keepFailure(*request, leg, response);
        // A full server may have capacity later.
        if (response.kind == ServerResponseKind::NotRun && ServerPool::isFull(response.load))
            std::erase(leg.tried, attempt.server);
        if (response.kind == ServerResponseKind::Served) {
            acceptPart(*request, leg, response);
            discardResponses(leg, actions);
        } else {
            onLegFailed(*request, attempt.leg, now, actions);
        }
        dropLargeFailure(*request, leg);
        review(*request, now, actions);
    }
    sendNextQueued(attempt.server->entry.service, now, actions);
}

void ForwardEngine::recordServerResponse(const Attempt& attempt, const ServerResponse& response, TimePoint now)
{
    auto& server = *attempt.server;
    if (response.load)
        ServerPool::recordLoad(server, *response.load, now);
    if (response.retryAfter > Duration {})
        ServerPool::recordRetryAfter(server, response.retryAfter, now);
    if (response.kind != ServerResponseKind::Unusable && response.kind != ServerResponseKind::WrongServer) {
        m_pool.recordLimit(server, response.rateLimit, now);
        if (response.warmupLeft > Duration {})
            m_pool.recordWarmup(server, response.warmupLeft, now);
        server.isLeaving = server.isLeaving || response.isLeaving;
    }
    switch (response.kind) {
    case ServerResponseKind::Served: {
        auto& times = m_times[attempt.routeName];
        ServerPool::recordAnswer(server, attempt.sentAt, times.median({}), now);
        times.add(now - attempt.sentAt, now);
        m_waits.recordServed(server.entry.service, now - attempt.sentAt, now);
        return;
    }
    case ServerResponseKind::WrongServer:
        return ServerPool::markReplaced(server);
    case ServerResponseKind::NotRun:
        if (ServerPool::isFull(response.load))
            return ServerPool::recordFull(server, now);
        break;
    case ServerResponseKind::Failed:
    case ServerResponseKind::Unusable:
        break;
    }
    ServerPool::recordFailure(server, now);
}

void ForwardEngine::onServerRequestFailed(ServerRequestId id, ServerRequestFailure failure, TimePoint now, ForwardActions& actions)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    forgetAttempt(id, now);
    if (failure == ServerRequestFailure::ConnectionRejected)
        ServerPool::recordFull(*attempt.server, now);
    else if (failure != ServerRequestFailure::Withdrawn && failure != ServerRequestFailure::NoLocalResources)
        ServerPool::recordFailure(*attempt.server, now);
    if (failure == ServerRequestFailure::Broken)
        recordCrash(attempt, now);
    auto* request = find(attempt.request);
    if (!request) {
        sendNextQueued(attempt.server->entry.service, now, actions);
        return;
    }
    auto& leg = request->legs[attempt.leg];
    std::erase(leg.inFlight, id);
    if (failure == ServerRequestFailure::Broken) {
        request->mayHaveRun = true;
    } else {
        --leg.mayHaveRun;
        --leg.arrivals;
    }
    if (failure == ServerRequestFailure::ConnectionRejected)
        std::erase(leg.tried, attempt.server);
    actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, request->request.attemptId, "server request failed",
        "server=" + attempt.server->entry.name.value() + " how=" + std::string(toString(failure)) + " content=" + std::to_string(attempt.content.value()) + " crashes=" + std::to_string(m_evidence.crashesOf(attempt.content, now))
            + " caller=" + request->request.callerAddress + " target=" + request->request.message->target.substr(0, maxLoggedTarget) });
    if (isWaiting(leg)) {
        onLegFailed(*request, attempt.leg, now, actions);
        review(*request, now, actions);
    }
    sendNextQueued(attempt.server->entry.service, now, actions);
}

void ForwardEngine::cancel(RequestNumber number, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    ++m_counters.disconnectedCallers;
    actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, request->request.attemptId, "caller disconnected", "route=" + request->route().name });
    forget(*request, true, now, actions);
}

void ForwardEngine::finishAll(TimePoint now, ForwardActions& actions)
{
    std::vector<RequestNumber> numbers;
    for (const auto& [number, request] : m_requests)
        numbers.push_back(number);
    for (const auto& number : numbers) {
        if (auto* request = find(number))
            finish(*request, now, actions);
    }
}

void ForwardEngine::onServers(const std::map<ServerName, ServerEntry>& servers, TimePoint now)
{
    m_pool.update(servers, now);
}

void ForwardEngine::setInstances(const std::vector<Instance>& instances, TimePoint now)
{
    m_pool.setInstances(static_cast<std::uint32_t>(instances.size()));
    m_pool.setFleet(instances, now);
}

void ForwardEngine::onRoutes(const RouteTable& table, TimePoint now)
{
    std::set<ServiceName> directServices;
    for (const auto& route : table.routes) {
        for (const auto& it : route.targets)
            directServices.insert(it.service);
    }
    m_pool.setDirectServices(std::move(directServices));
    m_pool.setWarmupRates(table.services, now);
    m_splits.keepOnly(table.routes);
    std::erase_if(m_times, [&](const auto& entry) {
        return std::none_of(table.routes.begin(), table.routes.end(), [&](const Route& route) { return route.name == entry.first; });
    });
    m_waits.keepOnly([&](const ServiceName& service) { return table.services.contains(service); });
    std::erase_if(m_budgets, [&](const auto& entry) { return !table.services.contains(entry.first); });
}

void ForwardEngine::onTimer(TimePoint now, ForwardActions& actions)
{
    while (!m_cancellations.empty() && m_cancellations.begin()->first <= now)
        cancelAttempt(m_cancellations.begin()->second, now, actions);
    sendDueChecks(now, actions);
    // Each due request is reviewed once, so that events which arrived in the meantime precede its next turn.
    std::vector<RequestNumber> due;
    for (auto it = m_dueTimes.begin(); it != m_dueTimes.end() && it->first <= now; ++it)
        due.push_back(it->second);
    for (const auto& number : due) {
        if (auto* request = find(number)) {
            m_dueTimes.erase({ request->due, number });
            request->due = never;
            review(*request, now, actions);
        }
    }
}

TimePoint ForwardEngine::nextWake() const
{
    const auto due = m_dueTimes.empty() ? never : m_dueTimes.begin()->first;
    const auto cancellation = m_cancellations.empty() ? never : m_cancellations.begin()->first;
    const auto check = m_dueChecks.empty() ? never : m_dueChecks.begin()->first;
    return std::min({ due, cancellation, check, m_cancelledAttempts.nextCheck() });
}

void ForwardEngine::forgetAttempt(ServerRequestId id, TimePoint now)
{
    const auto it = m_attempts.find(id);
    ServerPool::recordEnd(*it->second.server, now);
    m_waits.recordEnd(it->second.service);
    if (it->second.cancelAt != never)
        m_cancellations.erase({ it->second.cancelAt, id });
    m_attempts.erase(it);
}

void ForwardEngine::cancelAttempt(ServerRequestId id, TimePoint now, ForwardActions& actions)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    auto& server = *it->second.server;
    const bool isSilent = server.noResponseSince != never && now - server.noResponseSince >= minAbandonedTime;
    if (isSilent)
        ServerPool::recordFailure(server, now);
    m_cancelledAttempts.add(it->second.server, it->second.content, crashedAttempt(it->second), now);
    forgetAttempt(id, now);
    actions.emplace_back(CancelServerRequest { id });
}

void ForwardEngine::discardResponses(const Leg& leg, ForwardActions& actions)
{
    for (const auto& id : leg.inFlight)
        actions.emplace_back(DiscardServerResponse { id });
}

void ForwardEngine::abandonAttempts(Request& request, bool cancelNow, TimePoint now, ForwardActions& actions)
{
    for (auto& leg : request.legs) {
        for (const auto& id : std::exchange(leg.inFlight, {})) {
            auto& attempt = m_attempts.at(id);
            attempt.isUnserved = leg.stage != LegStage::Done;
            if (cancelNow && attempt.isIdempotent) {
                cancelAttempt(id, now, actions);
                continue;
            }
            const auto maxWait = std::max(minAbandonedTime, abandonedTargetLatencies * request.route().targetLatency);
            attempt.cancelAt = attempt.isIdempotent ? std::max(now, attempt.sentAt + maxWait) : std::max(now, request.deadline) + graceAfterDeadline;
            m_cancellations.emplace(attempt.cancelAt, id);
            if (attempt.isUnserved)
                actions.emplace_back(DiscardServerResponse { id });
        }
    }
}

void ForwardEngine::finish(Request& request, TimePoint now, ForwardActions& actions)
{
    auto answer = makeAnswer(request, now);
    if (request.request.isPart()) {
        for (const auto& leg : request.legs)
            answer.runs.push_back(leg.mayHaveRun);
        // Without it the delegating instance would take back the legs and send them itself.
        if (standingOf(request, now) == ContentStanding::Quarantined)
            actions.emplace_back(ReportContentCrash { request.request.number, newsOf(request.request.content, now) });
    }
    countAnswer(request, answer, now);
    const bool isPlain = answer.missingShards == 0 && (answer.kind == ForwardAnswerKind::Search || answer.kind == ForwardAnswerKind::PassThrough);
    const auto micros = (now - request.startedAt).count();
    actions.emplace_back(LogForwardDecision { isPlain ? DecisionImportance::Plain : DecisionImportance::Failure, request.request.attemptId, "answered",
        "route=" + request.route().name + " version=" + std::to_string(request.request.table->version) + " outcome=" + answer.reason
            + (request.route().isIdempotent ? "" : " repeatable=no") + " shards=" + std::to_string(request.done) + "/" + std::to_string(request.legs.size()) + " took_us=" + std::to_string(micros) });
    actions.emplace_back(DeliverForwardAnswer { std::move(answer) });
    forget(request, false, now, actions);
}

void ForwardEngine::forget(Request& request, bool cancelAttempts, TimePoint now, ForwardActions& actions)
{
    announceUnservedCrashes(request, now, actions);
    cancelDelegations(request, actions);
    abandonAttempts(request, cancelAttempts, now, actions);
    for (std::size_t i = 0; i < request.legs.size(); ++i)
        dequeue(request, i);
    setHeldBytes(request, 0);
    const auto number = request.request.number;
    m_dueTimes.erase({ request.due, number });
    m_requests.erase(number);
}

void ForwardEngine::countAnswer(const Request& request, const ForwardAnswer& answer, TimePoint now)
{
    switch (answer.kind) {
    case ForwardAnswerKind::Search:
        ++(answer.missingShards == 0 ? m_counters.complete : m_counters.partial);
        break;
    case ForwardAnswerKind::PassThrough:
        ++m_counters.passedThrough;
        break;
    case ForwardAnswerKind::NotRun:
        ++m_counters.refused;
        return;
    case ForwardAnswerKind::Failed:
        ++m_counters.failed;
        return;
    case ForwardAnswerKind::TimedOut:
        ++m_counters.timedOut;
        return;
    }
    if (now - request.startedAt > request.route().targetLatency)
        ++m_counters.lateAnswers;
}

}
