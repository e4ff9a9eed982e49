#include "gateway/forward_driver.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

/// The time after which a caller may retry a request that came before the first configuration.
constexpr Duration startupRetryTime = std::chrono::milliseconds(100);
/// The time after which a caller may retry a request that came while the configuration could not be confirmed; another instance may confirm its own.
constexpr Duration staleRetryTime = std::chrono::milliseconds(100);
constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;

LineImportance importanceOf(DecisionImportance importance)
{
    switch (importance) {
    case DecisionImportance::Plain:
        return LineImportance::Plain;
    case DecisionImportance::Extra:
        return LineImportance::Extra;
    case DecisionImportance::Failure:
        break;
    }
    return LineImportance::Failure;
}

}

ForwardDriver::ForwardDriver(ForwardDriverParts parts, ForwardSettings settings)
    : m_parts(parts)
    , m_timer(m_parts.strand)
    , m_engine(std::move(settings), std::make_unique<SeededRandom>(systemSeed()))
    , m_connections(m_parts.strand, m_parts.clock, m_parts.servers, *this, m_parts.metrics, m_parts.maxServerConnections)
    , m_noRoute(m_parts.metrics.counter("lycheefield_requests_without_route_total"))
    , m_unknownKeys(m_parts.metrics.counter("lycheefield_requests_without_valid_key_total"))
    , m_unverifiableKeys(m_parts.metrics.counter("lycheefield_requests_with_outdated_configuration_total"))
    , m_answerTimes(m_parts.metrics.histogram("lycheefield_answer_seconds"))
{
}

void ForwardDriver::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    boost::asio::dispatch(m_parts.strand, [this, request = std::move(request), exchange = std::move(exchange)]() mutable { onRequest(std::move(request), exchange); });
}

void ForwardDriver::onRequest(HttpRequest&& message, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto fields = m_parts.callers.read(message);
    if (!m_routes)
        return refuse(exchange, fields.attemptId, { unavailable, startupRetryTime, "no configuration yet" });
    if (fields.attemptId.empty())
        return refuse(exchange, fields.attemptId, { badRequest, {}, "no attempt id" });
    const auto now = m_parts.clock.now();
    const auto* route = m_routes->find(message.headers.find("Host"), message.path());
    if (!route) {
        m_noRoute.add();
        return refuseWithoutRoute(exchange, fields.attemptId);
    }
    const auto decision = checkCredential(*m_routes, *route, fields.key, m_parts.freshness.isFresh(now));
    if (decision.verdict != CredentialVerdict::Admitted)
        return refuseCredential(exchange, fields.attemptId, decision);
    if (m_routes->teams)
        m_parts.callers.removeCredentials(message);
    ForwardRequest request;
    request.number = RequestNumber(++m_lastRequest);
    request.table = m_routes;
    request.route = route;
    request.attemptId = fields.attemptId;
    request.deadline = fields.timeLeft ? now + *fields.timeLeft : never;
    request.readAt = now;
    request.networkTime = exchange->networkTime();
    request.content = contentOf(message);
    request.callerAddress = exchange->callerAddress();
    if (decision.team) {
        request.team = decision.team->name;
        request.teamRank = decision.team->rank;
    }
    request.message = std::make_shared<const HttpRequest>(std::move(message));
    admit(std::move(request), exchange);
}

void ForwardDriver::admit(ForwardRequest request, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto number = request.number;
    m_pending.emplace(number, PendingRequest { exchange, request.readAt, {}, 0 });
    exchange->onDisconnect([this, number] {
        boost::asio::post(m_parts.strand, [this, number] { cancelRequest(number); });
    });
    startWithinQuota(std::move(request));
}

void ForwardDriver::startWithinQuota(ForwardRequest request)
{
    const auto* team = request.table->teams && m_quotas ? request.table->teams->find(request.team) : nullptr;
    if (!team || !team->hasQuota())
        return startRequest(std::move(request));
    const auto number = request.number;
    const auto name = request.team;
    m_held.emplace(number, std::move(request));
    m_quotas->onRequest(number, name);
}

void ForwardDriver::onWithinQuota(RequestNumber number)
{
    const auto it = m_held.find(number);
    if (it == m_held.end())
        return;
    if (m_parts.clock.now() >= it->second.deadline)
        return refuseHeld(number, { unavailable, {}, "not run: its deadline passed while it waited for its team's quota" });
    auto request = std::move(it->second);
    m_held.erase(it);
    startRequest(std::move(request));
}

void ForwardDriver::onQuotaRefused(RequestNumber number, QuotaRefusal why, Duration retryAfter)
{
    if (!m_held.contains(number))
        return;
    switch (why) {
    case QuotaRefusal::OverQuota:
        return refuseHeld(number, { tooManyRequests, retryAfter, "over the team's quota" });
    case QuotaRefusal::PartGranted:
        return refuseHeld(number, { unavailable, retryAfter, "not run: only a part of the team's quota is granted at present" });
    case QuotaRefusal::NotGranted:
        return refuseHeld(number, { unavailable, retryAfter, "not run: no instance grants the team's quota at present" });
    }
}

void ForwardDriver::refuseHeld(RequestNumber number, const EarlyRefusal& refusal)
{
    const auto request = std::move(m_held.extract(number).mapped());
    const auto pending = std::move(m_pending.extract(number).mapped());
    const auto* team = request.table->teams->find(request.team);
    const auto quota = std::to_string(team->ratePerSecond) + "/s, burst " + std::to_string(team->burst);
    const auto retryAfter = std::to_string(std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count());
    m_parts.log.write(LineImportance::Failure, m_parts.clock.now(), "request refused",
        { { "request", request.attemptId }, { "status", std::to_string(refusal.status) }, { "reason", refusal.reason }, { "team", request.team.value() }, { "quota", quota }, { "next_credit_ms", retryAfter } });
    pending.exchange->respond(m_parts.callers.write(refusal));
}

void ForwardDriver::refuseAllHeld()
{
    while (!m_held.empty()) {
        const auto& [number, request] = *m_held.begin();
        m_quotas->onCancel(number, request.team);
        refuseHeld(number, { unavailable, {}, "not run: the instance stops" });
    }
}

void ForwardDriver::startRequest(ForwardRequest request)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.start(std::move(request), now, actions); });
}

void ForwardDriver::cancelRequest(RequestNumber number)
{
    m_pending.erase(number);
    if (const auto held = m_held.find(number); held != m_held.end()) {
        m_quotas->onCancel(number, held->second.team);
        m_held.erase(held);
        return;
    }
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.cancel(number, now, actions); });
}

void ForwardDriver::onDelegationAnswered(DelegationId id, const ForwardAnswer& answer)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onDelegationAnswered(id, answer, now, actions); });
}

void ForwardDriver::onDelegationFailed(DelegationId id, bool mayHaveRun)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onDelegationFailed(id, mayHaveRun, now, actions); });
}

bool ForwardDriver::onDelegationSilent(DelegationId id)
{
    bool isTakenBack = false;
    callEngine([&](TimePoint now, ForwardActions& actions) { isTakenBack = m_engine.onDelegationSilent(id, now, actions); });
    return isTakenBack;
}

void ForwardDriver::onExtraAttemptsRequested(DelegationId id, const std::vector<std::uint32_t>& positions)
{
    callEngine([&](TimePoint, ForwardActions& actions) { m_engine.onExtraAttemptsRequested(id, positions, actions); });
}

void ForwardDriver::onCrashAnnounced(const CrashNews& news)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onCrashAnnounced(news, now, actions); });
}

bool ForwardDriver::canRun(const SearchCall& call) const
{
    return !m_declinesDelegations && !call.shards.empty() && m_routes && m_routes->findSearch(call.route, call.limits);
}

void ForwardDriver::runDelegated(const InstanceName& delegator, const SearchCall& call)
{
    const auto now = m_parts.clock.now();
    const RequestNumber number { ++m_lastRequest };
    const auto content = call.content == Fingerprint() ? contentOf(call.message) : call.content;
    auto message = call.message;
    // The delegator may not know of teams yet.
    if (m_routes->teams)
        m_parts.callers.removeCredentials(message);
    m_pending.emplace(number, PendingRequest { nullptr, now, delegator, call.sequence });
    startRequest({ number, m_routes, m_routes->findSearch(call.route, call.limits), std::make_shared<const HttpRequest>(std::move(message)), call.attemptId, call.deadline, now, call.answerBy, call.shards,
        delegateEarnsBudget(DelegationId(call.sequence)), {}, content, call.team, call.teamRank });
}

std::optional<RequestNumber> ForwardDriver::findDelegated(const InstanceName& delegator, std::uint64_t sequence) const
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(), [&](const auto& entry) { return entry.second.instance == delegator && entry.second.sequence == sequence; });
    return it == m_pending.end() ? std::nullopt : std::optional(it->first);
}

void ForwardDriver::onExtraAttemptsGranted(const InstanceName& delegator, std::uint64_t sequence)
{
    const auto number = findDelegated(delegator, sequence);
    if (!number)
        return;
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onExtraAttemptsGranted(*number, now, actions); });
}

void ForwardDriver::cancelDelegated(const InstanceName& delegator, std::uint64_t sequence)
{
    if (const auto number = findDelegated(delegator, sequence))
        cancelRequest(*number);
}

void ForwardDriver::requestExtraAttempts(const RequestExtraAttempts& lateLegs)
{
    const auto it = m_pending.find(lateLegs.request);
    if (it != m_pending.end())
        m_delegation->requestExtraAttempts(it->second.instance, it->second.sequence, lateLegs.positions);
}

void ForwardDriver::reportCrash(const ReportContentCrash& report)
{
    const auto it = m_pending.find(report.request);
    if (it != m_pending.end())
        m_delegation->reportCrash(it->second.instance, report.news);
}

void ForwardDriver::cancelAllDelegated(const InstanceName& delegator)
{
    std::vector<RequestNumber> numbers;
    for (const auto& [number, pending] : m_pending) {
        if (pending.instance == delegator)
            numbers.push_back(number);
    }
    for (const auto& it : numbers)
        cancelRequest(it);
}

void ForwardDriver::refuse(const std::shared_ptr<HttpExchange>& exchange, const std::string& attemptId, const EarlyRefusal& refusal)
{
    const auto status = std::to_string(refusal.status);
    m_parts.log.write(LineImportance::Failure, m_parts.clock.now(), "request refused", { { "request", attemptId }, { "status", status }, { "reason", refusal.reason } });
    exchange->respond(m_parts.callers.write(refusal));
}

void ForwardDriver::refuseWithoutRoute(const std::shared_ptr<HttpExchange>& exchange, const std::string& attemptId)
{
    const EarlyRefusal refusal { notFound, {}, "no route in version " + std::to_string(m_routes->version) };
    constexpr auto objects = FollowedObjects::Configuration;
    m_parts.log.write(LineImportance::Failure, m_parts.clock.now(), "request refused",
        { { "request", attemptId }, { "status", std::to_string(refusal.status) }, { "reason", refusal.reason }, { "revision", m_parts.states.revisionText(objects) }, { "proof_age_ms", m_parts.states.ageText(objects) } });
    exchange->respond(m_parts.callers.write(refusal));
}

void ForwardDriver::refuseCredential(const std::shared_ptr<HttpExchange>& exchange, const std::string& attemptId, const CredentialDecision& decision)
{
    const bool isUnknown = decision.verdict == CredentialVerdict::Unknown;
    (isUnknown ? m_unknownKeys : m_unverifiableKeys).add();
    const auto refusal = isUnknown ? EarlyRefusal { unauthorized, {}, "no valid API key" } : EarlyRefusal { unavailable, staleRetryTime, "not run: the configuration may be outdated" };
    const auto now = m_parts.clock.now();
    const auto team = decision.team ? decision.team->name.value() : std::string();
    m_parts.log.write(LineImportance::Failure, now, "request refused",
        { { "request", attemptId }, { "status", std::to_string(refusal.status) }, { "reason", refusal.reason }, { "team", team }, { "configuration_age_ms", m_parts.freshness.ageText(now) } });
    exchange->respond(m_parts.callers.write(refusal));
}

void ForwardDriver::onResponse(ServerRequestId id, const ServerResponse& response)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onResponse(id, response, now, actions); });
}

void ForwardDriver::onFailed(ServerRequestId id, ServerRequestFailure failure)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onServerRequestFailed(id, failure, now, actions); });
}

void ForwardDriver::onChecked(const ServerName& server, ServerCheck check)
{
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onServerChecked(server, check, now, actions); });
}

void ForwardDriver::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
    m_engine.onRoutes(*m_routes, m_parts.clock.now());
    if (m_quotas)
        m_quotas->setTeams(m_routes->teams.get());
}

void ForwardDriver::setServers(const std::map<ServerName, ServerEntry>& servers)
{
    m_engine.onServers(servers, m_parts.clock.now());
    m_connections.withdrawWaiting([&](const ServerName& name, const Endpoint& endpoint) {
        const auto it = servers.find(name);
        return it != servers.end() && !it->second.isDraining && it->second.endpoint == endpoint;
    });
}

void ForwardDriver::setDrainedZones(const std::set<ZoneName>& zones)
{
    m_engine.setDrainedZones(zones);
    m_connections.withdrawUnsent(zones);
}

void ForwardDriver::finishAll()
{
    refuseAllHeld();
    callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.finishAll(now, actions); });
}

void ForwardDriver::execute(const ForwardActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* request = std::get_if<SendServerRequest>(&action))
            m_connections.send(*request);
        else if (const auto* cancelledRequest = std::get_if<CancelServerRequest>(&action))
            m_connections.cancel(cancelledRequest->id);
        else if (const auto* discarded = std::get_if<DiscardServerResponse>(&action))
            m_connections.discardResponse(discarded->id);
        else if (const auto* check = std::get_if<CheckServer>(&action))
            m_connections.check(*check);
        else if (const auto* shards = std::get_if<DelegateShards>(&action))
            m_delegation->delegate(*shards);
        else if (const auto* cancelledDelegation = std::get_if<CancelDelegation>(&action))
            m_delegation->cancel(cancelledDelegation->id);
        else if (const auto* granted = std::get_if<GrantExtraAttempts>(&action))
            m_delegation->grantExtraAttempts(granted->id);
        else if (const auto* lateLegs = std::get_if<RequestExtraAttempts>(&action))
            requestExtraAttempts(*lateLegs);
        else if (const auto* crash = std::get_if<AnnounceContentCrash>(&action))
            m_delegation->announceCrash(crash->news);
        else if (const auto* report = std::get_if<ReportContentCrash>(&action))
            reportCrash(*report);
        else if (const auto* answer = std::get_if<DeliverForwardAnswer>(&action))
            deliver(answer->answer);
        else if (const auto* decision = std::get_if<LogForwardDecision>(&action))
            m_parts.log.write(importanceOf(decision->importance), m_parts.clock.now(), decision->event, { { "request", decision->attemptId }, { "detail", decision->detail } });
    }
    setTimer();
}

void ForwardDriver::deliver(const ForwardAnswer& answer)
{
    const auto it = m_pending.find(answer.request);
    if (it == m_pending.end())
        return;
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    m_answerTimes.add(m_parts.clock.now() - pending.readAt);
    if (pending.exchange)
        pending.exchange->respond(m_parts.callers.write(answer));
    else
        m_delegation->sendAnswer(pending.instance, pending.sequence, answer);
}

void ForwardDriver::setTimer()
{
    const auto wake = m_engine.nextWake();
    if (wake == m_timerAt)
        return;
    m_timerAt = wake;
    if (wake == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(Duration {}, wake - m_parts.clock.now()));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_timerAt = never;
        callEngine([&](TimePoint now, ForwardActions& actions) { m_engine.onTimer(now, actions); });
    });
}

}
