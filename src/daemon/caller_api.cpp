#include "daemon/caller_api.h"

#include "base/fingerprint.h"
#include "daemon/answer_json.h"

#include <algorithm>
#include <charconv>

namespace lycheefield {

namespace {

constexpr Duration maxDeadline = std::chrono::minutes(10);
/// Time for operators to raise the limit or to split the service.
constexpr Duration retryAfterTooManyLegs = std::chrono::seconds(30);

/// Returns the caller's own deadline, `never` without one, or an error when the header is not a positive integer.
Result<TimePoint> deadlineIn(const HttpRequest& request, TimePoint now)
{
    const auto text = request.headers.find("X-Deadline-Ms");
    if (text.empty())
        return never;
    std::uint32_t millis = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (ec != std::errc() || end != text.data() + text.size() || millis == 0)
        return Error { ErrorKind::InvalidInput, "X-Deadline-Ms must be a positive integer", "give milliseconds, as in X-Deadline-Ms: 80" };
    return now + std::min<Duration>(maxDeadline, std::chrono::milliseconds(millis));
}

Error errorFor(const ClaimDecided& decided)
{
    switch (decided.verdict) {
    case ClaimVerdict::DifferentContent:
        return { ErrorKind::Conflict, "the idempotency key was already used with different content", "use a new key for new content" };
    case ClaimVerdict::InProgress:
        return { ErrorKind::UnknownOutcome, "another attempt holds the idempotency key and has not recorded an outcome",
            "repeat the request later with the same key" };
    case ClaimVerdict::StoreUnavailable:
    case ClaimVerdict::AlreadyDone:
    case ClaimVerdict::Granted:
        break;
    }
    return { ErrorKind::Unavailable, "the store of idempotency keys did not respond: this attempt was not dispatched, an earlier one may have run",
        "repeat the request with the same key" };
}

}

/// A caller's request between its arrival and its response.
struct CallerApi::Call {
    CallerRequest request;
    std::shared_ptr<HttpExchange> exchange;
    std::string traceparent; ///< Sent back in the header of the response.
    bool isClaimed = false;
};

CallerApi::CallerApi(EntryDriver& entry, const SharedTables& tables, ClaimService& claims, RequestLog& log, OperatorApi& operators, std::shared_ptr<const Clock> clock, std::uint32_t maxLegs, ByteCount maxKey)
    : m_entry(entry)
    , m_tables(tables)
    , m_claims(claims)
    , m_log(log)
    , m_operators(operators)
    , m_clock(std::move(clock))
    , m_maxLegs(maxLegs)
    , m_maxKey(maxKey)
{
}

void CallerApi::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (m_operators.handle(request, exchange))
        return;
    handleCall(std::move(request), std::move(exchange));
}

void CallerApi::handleCall(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const auto now = m_clock->now();
    auto call = std::make_shared<Call>();
    const auto id = m_entry.nextId();
    call->request.id = id;
    call->request.path = std::string(request.path());
    call->exchange = std::move(exchange);
    auto caller = TraceParent::parse(std::string(request.headers.find("traceparent")));
    if (caller.traceId.empty())
        caller = { id.toString(), SpanId() };
    call->traceparent = TraceParent { caller.traceId, entrySpanOf(id) }.toString();
    const auto refuse = [&](unsigned status, const Error& error, Duration retryAfter = {}) { respond(*call, refusalResponse(status, id, error, retryAfter)); };

    if (request.method != "POST" && request.method != "GET")
        return refuse(405, { ErrorKind::InvalidInput, "method " + request.method + " is not supported", "use POST or GET" });
    const auto rules = m_tables.rules.read();
    const auto* rule = rules->match(call->request.path);
    if (!rule)
        return refuse(404, { ErrorKind::NotFound, "no rule matches the path " + call->request.path, "check the path, or ask the operators for a rule" });
    const auto shards = m_tables.shards.read();
    const auto* service = shards->findService(rule->service);
    if (rule->kind == RequestKind::Search && service && service->shards.size() > m_maxLegs)
        return refuse(503, { ErrorKind::Overloaded, "service " + rule->service.value() + " has more shards than one request may use", "raise http.max_legs" }, retryAfterTooManyLegs);
    const auto deadline = deadlineIn(request, now);
    if (!deadline)
        return refuse(400, deadline.error());
    const std::string key(request.headers.find("Idempotency-Key"));
    if (rule->kind == RequestKind::Order && (key.empty() || key.size() > m_maxKey.value))
        return refuse(400, { ErrorKind::InvalidInput, "Idempotency-Key is missing or longer than " + std::to_string(m_maxKey.value) + " bytes", "give each order a key of its own, and repeat an order with the same key" });

    call->request.deadline = std::min(deadline.value(), now + rule->deadline);
    call->request.record = std::string(request.headers.find("X-Record-Key"));
    if (call->request.record.empty())
        call->request.record = rule->kind == RequestKind::Order ? key : request.target;
    call->request.body = std::make_shared<const std::string>(std::move(request.body));
    call->request.traceparent = call->traceparent;
    m_log.begin(id, caller, call->request.path, now);
    if (rule->kind == RequestKind::Order)
        claimThenStart(call, *rule, key);
    else
        start(call);
}

void CallerApi::claimThenStart(const std::shared_ptr<Call>& call, const Rule& rule, const std::string& key)
{
    ClaimRequest claim;
    claim.request = call->request.id;
    claim.key = IdempotencyKey(key);
    claim.fingerprint = fingerprintOf(rule.service, *call->request.body);
    claim.deadline = call->request.deadline;
    m_claims.claim(claim, [this, call](const ClaimDecided& decided) { onClaimDecided(call, decided); });
}

void CallerApi::onClaimDecided(const std::shared_ptr<Call>& call, const ClaimDecided& decided)
{
    if (decided.verdict == ClaimVerdict::Granted) {
        m_log.recordDecision(call->request.id, "the idempotency key was claimed", m_clock->now());
        call->isClaimed = true;
        start(call);
        return;
    }
    Answer answer;
    answer.request = call->request.id;
    if (decided.verdict == ClaimVerdict::AlreadyDone && !decided.recordedAnswer.empty()) {
        m_log.recordDecision(call->request.id, "an earlier request with this idempotency key ran; its recorded answer is returned", m_clock->now());
        m_log.end(answer, m_clock->now());
        HttpResponse response;
        response.body = decided.recordedAnswer;
        response.headers.add("X-Request-Id", call->request.id.toString());
        respond(*call, std::move(response));
        return;
    }
    answer.runState = runStateOf(decided);
    answer.refusal = decided.verdict == ClaimVerdict::AlreadyDone
        ? Error { ErrorKind::Conflict, "an earlier request with this idempotency key ran, and its answer was not kept", "don't repeat the request" }
        : errorFor(decided);
    m_log.recordDecision(call->request.id, "not dispatched: " + answer.refusal->message, m_clock->now());
    m_log.end(answer, m_clock->now());
    respond(*call, toHttpResponse(answer));
}

void CallerApi::start(const std::shared_ptr<Call>& call)
{
    // An order continues after its caller disconnects: its outcome is recorded for a repetition with the same key.
    if (!call->isClaimed) {
        call->exchange->onDisconnect([this, id = call->request.id] { m_entry.cancel(id, true, nullptr); });
    }
    m_entry.start(call->request, [this, call](const Answer& answer) {
        auto response = toHttpResponse(answer);
        if (call->isClaimed)
            settleClaim(answer, response);
        respond(*call, std::move(response));
    });
}

void CallerApi::settleClaim(const Answer& answer, const HttpResponse& response)
{
    if (answer.runState == RunState::NotRun)
        m_claims.release(answer.request);
    else
        m_claims.recordOutcome(answer.request, answer.runState, answer.runState == RunState::Ran ? response.body : std::string());
}

void CallerApi::respond(const Call& call, HttpResponse response) const
{
    response.headers.add("traceparent", call.traceparent);
    call.exchange->respond(std::move(response));
}

}
