#include "gateway/forward_driver.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

/// A caller that came before the configuration did may come back after this time.
constexpr Duration retryAfterStart = std::chrono::milliseconds(100);
constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned unavailable = 503;

LineImportance weightOf(DecisionImportance weight)
{
    switch (weight) {
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
    , m_connections(m_parts.strand, m_parts.clock, m_parts.servers, *this, m_parts.metrics)
    , m_noRoute(m_parts.metrics.counter("lycheefield_requests_without_route_total"))
    , m_answerTimes(m_parts.metrics.histogram("lycheefield_answer_seconds"))
{
}

void ForwardDriver::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    boost::asio::dispatch(m_parts.strand, [this, request = std::move(request), exchange = std::move(exchange)]() mutable { begin(std::move(request), exchange); });
}

void ForwardDriver::begin(HttpRequest&& message, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto fields = m_parts.callers.read(message);
    if (!m_routes)
        return refuse(exchange, fields.attemptId, { unavailable, retryAfterStart, "no configuration yet" });
    if (fields.attemptId.empty())
        return refuse(exchange, fields.attemptId, { badRequest, {}, "no attempt id" });
    const auto now = m_parts.clock.now();
    const auto* route = m_routes->find(message.headers.find("Host"), message.path());
    if (!route) {
        m_noRoute.add();
        return refuse(exchange, fields.attemptId, { notFound, {}, "no route in version " + std::to_string(m_routes->version) });
    }
    const RequestNumber number { ++m_lastRequest };
    const auto deadline = fields.timeLeft ? now + *fields.timeLeft : never;
    m_waiting.emplace(number, Waiting { exchange, now, {}, 0 });
    exchange->onGone([this, number] {
        boost::asio::post(m_parts.strand, [this, number] { cancelHere(number); });
    });
    startHere({ number, m_routes, route, std::make_shared<const HttpRequest>(std::move(message)), fields.attemptId, deadline, now, never, {}, true });
}

void ForwardDriver::startHere(ForwardRequest request)
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.start(std::move(request), now, actions); });
}

void ForwardDriver::cancelHere(RequestNumber number)
{
    m_waiting.erase(number);
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.cancel(number, now, actions); });
}

void ForwardDriver::onDelegationAnswered(DelegationId id, const ForwardAnswer& answer)
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.onDelegationAnswered(id, answer, now, actions); });
}

void ForwardDriver::onDelegationFailed(DelegationId id, bool mayHaveRun)
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.onDelegationFailed(id, mayHaveRun, now, actions); });
}

bool ForwardDriver::onDelegationSilent(DelegationId id)
{
    bool isTakenBack = false;
    decide([&](TimePoint now, ForwardActions& actions) { isTakenBack = m_engine.onDelegationSilent(id, now, actions); });
    return isTakenBack;
}

void ForwardDriver::onExtraAttemptsRequested(DelegationId id, const std::vector<std::uint32_t>& positions)
{
    decide([&](TimePoint, ForwardActions& actions) { m_engine.onExtraAttemptsRequested(id, positions, actions); });
}

void ForwardDriver::onCrashNews(Fingerprint content, const ServerName& server)
{
    m_engine.onCrashNews(content, server, m_parts.clock.now());
}

const Route* ForwardDriver::searchOf(const SearchCall& call) const
{
    if (!m_routes || m_routes->version != call.tableVersion)
        return nullptr;
    const auto it = std::find_if(m_routes->routes.begin(), m_routes->routes.end(), [&](const Route& route) { return route.name == call.route && route.isSearch(); });
    return it == m_routes->routes.end() ? nullptr : &*it;
}

bool ForwardDriver::canRun(const SearchCall& call) const
{
    return !m_declinesOthers && !call.shards.empty() && searchOf(call) != nullptr;
}

void ForwardDriver::runFor(const InstanceName& caller, const SearchCall& call)
{
    const auto now = m_parts.clock.now();
    const RequestNumber number { ++m_lastRequest };
    m_waiting.emplace(number, Waiting { nullptr, now, caller, call.sequence });
    startHere({ number, m_routes, searchOf(call), std::make_shared<const HttpRequest>(call.message), call.attemptId, call.deadline, now, call.answerBy, call.shards,
        delegateEarnsBudget(DelegationId(call.sequence)) });
}

std::optional<RequestNumber> ForwardDriver::partOf(const InstanceName& caller, std::uint64_t sequence) const
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) { return entry.second.instance == caller && entry.second.sequence == sequence; });
    return it == m_waiting.end() ? std::nullopt : std::optional(it->first);
}

void ForwardDriver::grantFor(const InstanceName& caller, std::uint64_t sequence)
{
    const auto number = partOf(caller, sequence);
    if (!number)
        return;
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.onExtraAttemptsGranted(*number, now, actions); });
}

void ForwardDriver::cancelFor(const InstanceName& caller, std::uint64_t sequence)
{
    if (const auto number = partOf(caller, sequence))
        cancelHere(*number);
}

void ForwardDriver::want(const RequestExtraAttempts& want)
{
    const auto it = m_waiting.find(want.request);
    if (it != m_waiting.end())
        m_relay->want(it->second.instance, it->second.sequence, want.positions);
}

void ForwardDriver::cancelAllFor(const InstanceName& caller)
{
    std::vector<RequestNumber> numbers;
    for (const auto& [number, waiting] : m_waiting) {
        if (waiting.instance == caller)
            numbers.push_back(number);
    }
    for (const auto& it : numbers)
        cancelHere(it);
}

void ForwardDriver::refuse(const std::shared_ptr<HttpExchange>& exchange, const std::string& attemptId, const EarlyRefusal& refusal)
{
    const auto status = std::to_string(refusal.status);
    m_parts.log.write(LineImportance::Failure, m_parts.clock.now(), "refused", { { "request", attemptId }, { "status", status }, { "reason", refusal.reason } });
    exchange->respond(m_parts.callers.write(refusal));
}

void ForwardDriver::onResponse(ServerRequestId id, const ServerResponse& reply)
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.onResponse(id, reply, now, actions); });
}

void ForwardDriver::onLost(ServerRequestId id, ServerRequestFailure loss)
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.onLost(id, loss, now, actions); });
}

void ForwardDriver::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
    m_engine.onRoutes(*m_routes);
}

void ForwardDriver::setServers(const std::map<ServerName, ServerEntry>& servers)
{
    m_engine.onServers(servers, m_parts.clock.now());
}

void ForwardDriver::finishAll()
{
    decide([&](TimePoint now, ForwardActions& actions) { m_engine.finishAll(now, actions); });
}

void ForwardDriver::execute(const ForwardActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendServerRequest>(&action))
            m_connections.send(*send);
        else if (const auto* close = std::get_if<CancelServerRequest>(&action))
            m_connections.close(close->id);
        else if (const auto* ask = std::get_if<DelegateShards>(&action))
            m_relay->ask(*ask);
        else if (const auto* end = std::get_if<CancelDelegation>(&action))
            m_relay->end(end->id);
        else if (const auto* grant = std::get_if<GrantExtraAttempts>(&action))
            m_relay->grant(grant->id);
        else if (const auto* wanted = std::get_if<RequestExtraAttempts>(&action))
            want(*wanted);
        else if (const auto* crash = std::get_if<AnnounceContentCrash>(&action))
            m_relay->tell(*crash);
        else if (const auto* answer = std::get_if<DeliverForwardAnswer>(&action))
            deliver(answer->answer);
        else if (const auto* note = std::get_if<LogForwardDecision>(&action))
            m_parts.log.write(weightOf(note->weight), m_parts.clock.now(), note->event, { { "request", note->attemptId }, { "detail", note->detail } });
    }
    setTimer();
}

void ForwardDriver::deliver(const ForwardAnswer& answer)
{
    const auto it = m_waiting.find(answer.request);
    if (it == m_waiting.end())
        return;
    const auto waiting = std::move(it->second);
    m_waiting.erase(it);
    m_answerTimes.add(m_parts.clock.now() - waiting.readAt);
    if (waiting.exchange)
        waiting.exchange->respond(m_parts.callers.write(answer));
    else
        m_relay->reply(waiting.instance, waiting.sequence, answer);
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
        decide([&](TimePoint now, ForwardActions& actions) { m_engine.onTimer(now, actions); });
    });
}

}
