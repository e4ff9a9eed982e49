#include "forward/forward_engine.h"

#include "base/fingerprint.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// A send that nobody waits for any more is closed after this part of its route's target latency,
/// so that a server that hangs does not hold a connection.
constexpr int abandonedAfterTargets = 2;
constexpr Duration abandonedAtLeast = 500ms;
/// A request that must not be cut is left at its server for this long after its deadline.
constexpr Duration leftAfterDeadline = 2s;
/// The last answer leaves so long before the deadline, so that it is there before the caller gives up.
constexpr Duration finalAnswerMargin = 15ms;
/// Part of the fleet's slack that the instances spend in all: those that restart begin anew.
constexpr double slackSpent = 0.45;

/// What makes two requests the same for the servers that they end.
Fingerprint contentOf(const ForwardRequest& request)
{
    const auto& message = *request.message;
    return Fingerprint(stableHash(message.body, stableHash(message.path(), stableHash(message.headers.find("Host")))));
}

}

ForwardEngine::ForwardEngine(ForwardSettings settings, std::unique_ptr<RandomSource> random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
    , m_pool(m_settings, *m_random)
{
}

ForwardEngine::Request* ForwardEngine::find(RequestNumber number)
{
    const auto it = m_requests.find(number);
    return it == m_requests.end() ? nullptr : &it->second;
}

ExtraAttemptBudgetLimits ForwardEngine::budgetLimits() const
{
    return { m_settings.retryRatio, slackSpent * m_settings.retrySlack / m_pool.instances(), m_settings.retryWindow };
}

void ForwardEngine::start(ForwardRequest request, TimePoint now, ForwardActions& actions)
{
    ++m_counters.requests;
    const auto number = request.number;
    auto& it = m_requests[number];
    it.request = std::move(request);
    it.startedAt = it.request.readAt;
    const auto& route = it.route();
    it.deadline = std::min(it.request.deadline, it.startedAt + route.timeout) - finalAnswerMargin;
    if (route.isSearch()) {
        it.answerBy = std::min(it.request.answerBy, it.startedAt + std::max(Duration {}, route.targetLatency - m_settings.answerMargin));
        for (const auto& shard : it.request.isPart() ? it.request.onlyShards : route.shards)
            it.legs.emplace_back().service = shard;
    } else {
        it.legs.emplace_back().service = m_splits.pick(route);
    }
    if (quarantineLeft(it, now) > Duration {})
        return finish(it, now, actions);
    const auto served = std::count_if(it.legs.begin(), it.legs.end(), [&](const Leg& leg) { return m_pool.hasServers(leg.service); });
    if (static_cast<std::size_t>(served) < it.needed())
        return finish(it, now, actions);
    if (it.request.isPart() && route.maxRuns > 1) {
        it.mayUseExtraAttempts = false;
        it.wantAt = now + hedgeDelay(route);
    }
    if (route.isSearch()) {
        giveLegs(it, now, actions);
        shedLegs(it, now);
    }
    for (auto& leg : it.legs)
        leg.hedgeAt = now;
    review(it, now, actions);
}

void ForwardEngine::onResponse(ServerRequestId id, const ServerResponse& reply, TimePoint now, ForwardActions& actions)
{
    const auto it = m_sends.find(id);
    if (it == m_sends.end())
        return;
    const auto send = it->second;
    forgetSend(id, now);
    judgeServer(send, reply, now);
    auto* request = find(send.request);
    if (!request)
        return sendNext(send.server->entry.service, now, actions);
    auto& leg = request->legs[send.leg];
    std::erase(leg.open, id);
    const bool isRefused = reply.kind == ServerResponseKind::NotRun || reply.kind == ServerResponseKind::WrongServer;
    if (isRefused)
        --leg.mayHaveRun;
    else
        request->mayHaveRun = true;
    if (!isRefused && reply.kind != ServerResponseKind::Unusable && !m_crashes.isEmpty())
        m_crashes.noteServed(contentOf(request->request));
    if (isWaiting(leg)) {
        if (reply.kind == ServerResponseKind::Failed)
            leg.ownAnswer = reply.message;
        // A server that is full now has room later.
        if (reply.kind == ServerResponseKind::NotRun && ServerPool::isFull(reply.load))
            std::erase(leg.tried, send.server);
        if (reply.kind == ServerResponseKind::Served)
            acceptPart(*request, leg, reply);
        else
            onLegFailed(*request, send.leg, now, actions);
        review(*request, now, actions);
    }
    sendNext(send.server->entry.service, now, actions);
}

void ForwardEngine::judgeServer(const Send& send, const ServerResponse& reply, TimePoint now)
{
    auto& server = *send.server;
    if (reply.load)
        ServerPool::noteLoad(server, *reply.load, now);
    switch (reply.kind) {
    case ServerResponseKind::Served: {
        auto& times = m_times[send.routeName];
        ServerPool::recordAnswer(server, send.sentAt, times.usual({}), now);
        times.add(now - send.sentAt, now);
        return;
    }
    case ServerResponseKind::WrongServer:
        return ServerPool::noteReplaced(server);
    case ServerResponseKind::NotRun:
        if (ServerPool::isFull(reply.load))
            return ServerPool::noteNoRoom(server, now);
        break;
    case ServerResponseKind::Failed:
    case ServerResponseKind::Unusable:
        break;
    }
    ServerPool::recordFailure(server, now);
}

void ForwardEngine::onLost(ServerRequestId id, ServerRequestFailure loss, TimePoint now, ForwardActions& actions)
{
    const auto it = m_sends.find(id);
    if (it == m_sends.end())
        return;
    const auto send = it->second;
    forgetSend(id, now);
    if (loss == ServerRequestFailure::ConnectionRejected)
        ServerPool::noteNoRoom(*send.server, now);
    else
        ServerPool::recordFailure(*send.server, now);
    auto* request = find(send.request);
    if (!request)
        return sendNext(send.server->entry.service, now, actions);
    auto& leg = request->legs[send.leg];
    std::erase(leg.open, id);
    if (loss == ServerRequestFailure::Broken) {
        request->mayHaveRun = true;
        recordCrash(*request, send.server->entry.name, now, actions);
    } else {
        --leg.mayHaveRun;
        --leg.arrivals;
    }
    if (loss == ServerRequestFailure::ConnectionRejected)
        std::erase(leg.tried, send.server);
    actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, request->request.attemptId, "send lost",
        "server=" + send.server->entry.name.value() + " how=" + std::string(toString(loss)) });
    if (isWaiting(leg)) {
        onLegFailed(*request, send.leg, now, actions);
        review(*request, now, actions);
    }
    sendNext(send.server->entry.service, now, actions);
}

void ForwardEngine::recordCrash(const Request& request, const ServerName& server, TimePoint now, ForwardActions& actions)
{
    // A search ends many servers at once, and its parts are asked for by several instances.
    if (request.route().isSearch())
        return;
    const auto content = contentOf(request.request);
    if (!m_crashes.recordCrash(content, server, now))
        return;
    actions.emplace_back(AnnounceContentCrash { content, server });
    if (m_crashes.left(content, now) > Duration {})
        actions.emplace_back(LogForwardDecision { DecisionImportance::Failure, request.request.attemptId, "request quarantined", "why=three servers ended while they ran it" });
}

Duration ForwardEngine::quarantineLeft(const Request& request, TimePoint now) const
{
    if (m_crashes.isEmpty() || request.route().isSearch())
        return {};
    return m_crashes.left(contentOf(request.request), now);
}

void ForwardEngine::onCrashNews(Fingerprint content, const ServerName& server, TimePoint now)
{
    m_crashes.recordCrash(content, server, now);
}

void ForwardEngine::cancel(RequestNumber number, TimePoint now, ForwardActions& actions)
{
    auto* request = find(number);
    if (!request)
        return;
    ++m_counters.gone;
    actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, request->request.attemptId, "caller left", "route=" + request->route().name });
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

void ForwardEngine::onRoutes(const RouteTable& table)
{
    m_splits.keepOnly(table.routes);
    std::erase_if(m_times, [&](const auto& entry) {
        return std::none_of(table.routes.begin(), table.routes.end(), [&](const Route& route) { return route.name == entry.first; });
    });
    std::erase_if(m_budgets, [&](const auto& entry) { return !table.services.contains(entry.first); });
}

void ForwardEngine::onTimer(TimePoint now, ForwardActions& actions)
{
    while (!m_closings.empty() && m_closings.begin()->first <= now)
        closeSend(m_closings.begin()->second, now, actions);
    // Each once: a request with more to send has its next turn after what came in meanwhile.
    std::vector<RequestNumber> due;
    for (auto it = m_due.begin(); it != m_due.end() && it->first <= now; ++it)
        due.push_back(it->second);
    for (const auto& number : due) {
        if (auto* request = find(number)) {
            m_due.erase({ request->due, number });
            request->due = never;
            review(*request, now, actions);
        }
    }
}

TimePoint ForwardEngine::nextWake() const
{
    const auto due = m_due.empty() ? never : m_due.begin()->first;
    const auto closing = m_closings.empty() ? never : m_closings.begin()->first;
    return std::min(due, closing);
}

void ForwardEngine::forgetSend(ServerRequestId id, TimePoint now)
{
    const auto it = m_sends.find(id);
    ServerPool::noteOver(*it->second.server, now);
    if (it->second.closeAt != never)
        m_closings.erase({ it->second.closeAt, id });
    m_sends.erase(it);
}

void ForwardEngine::closeSend(ServerRequestId id, TimePoint now, ForwardActions& actions)
{
    const auto it = m_sends.find(id);
    if (it == m_sends.end())
        return;
    auto& server = *it->second.server;
    const bool isSilent = server.owesSince != never && now - server.owesSince >= abandonedAtLeast;
    if (isSilent)
        ServerPool::recordFailure(server, now);
    forgetSend(id, now);
    actions.emplace_back(CancelServerRequest { id });
}

void ForwardEngine::abandonSends(Request& request, bool closeNow, TimePoint now, ForwardActions& actions)
{
    for (auto& leg : request.legs) {
        for (const auto& id : std::exchange(leg.open, {})) {
            auto& send = m_sends.at(id);
            if (closeNow && send.isIdempotent) {
                closeSend(id, now, actions);
                continue;
            }
            const auto patience = std::max(abandonedAtLeast, abandonedAfterTargets * request.route().targetLatency);
            send.closeAt = send.isIdempotent ? std::max(now, send.sentAt + patience) : std::max(now, request.deadline) + leftAfterDeadline;
            m_closings.emplace(send.closeAt, id);
        }
    }
}

void ForwardEngine::finish(Request& request, TimePoint now, ForwardActions& actions)
{
    auto answer = answerOf(request, now);
    if (request.request.isPart()) {
        for (const auto& leg : request.legs)
            answer.runs.push_back(leg.mayHaveRun);
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

void ForwardEngine::forget(Request& request, bool closeSends, TimePoint now, ForwardActions& actions)
{
    endRelays(request, actions);
    abandonSends(request, closeSends, now, actions);
    for (std::size_t i = 0; i < request.legs.size(); ++i)
        leaveQueue(request, i);
    const auto number = request.request.number;
    m_due.erase({ request.due, number });
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
        ++m_counters.late;
}

}
