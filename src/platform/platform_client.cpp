#include "platform/platform_client.h"

#include "base/digits.h"
#include "base/token_bucket.h"
#include "platform/call_pause.h"
#include "platform/http_date.h"
#include "platform/platform_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace lycheefield {

namespace asio = boost::asio;

namespace {

bool isWrite(PlatformCallKind kind)
{
    return kind == PlatformCallKind::Write || kind == PlatformCallKind::Create || kind == PlatformCallKind::Remove || kind == PlatformCallKind::Report;
}

PlatformMethod methodOf(PlatformCallKind kind)
{
    if (kind == PlatformCallKind::Create)
        return PlatformMethod::Post;
    if (kind == PlatformCallKind::Remove)
        return PlatformMethod::Delete;
    return isWrite(kind) ? PlatformMethod::Put : PlatformMethod::Get;
}

enum HttpStatus : unsigned int {
    Ok = 200,
    FirstClientError = 400,
    NotFound = 404,
    Conflict = 409,
    Gone = 410,
    FirstServerError = 500,
    ServiceUnavailable = 503,
};

/// A 503 and every 4xx mean that nothing was done; after any other status than 200 a write may have taken effect.
StoreStatus statusOf(const HttpExchangeResult& result)
{
    if (!result.hasResponse)
        return result.wasSent ? StoreStatus::Lost : StoreStatus::Unavailable;
    switch (result.status) {
    case HttpStatus::Ok:
        return StoreStatus::Ok;
    case HttpStatus::NotFound:
        return StoreStatus::NotFound;
    case HttpStatus::Conflict:
        return StoreStatus::Conflict;
    case HttpStatus::Gone:
        return StoreStatus::HistoryExpired;
    case HttpStatus::ServiceUnavailable:
        return StoreStatus::Unavailable;
    default:
        break;
    }
    const bool isClientError = result.status >= HttpStatus::FirstClientError && result.status < HttpStatus::FirstServerError;
    return isClientError ? StoreStatus::Unavailable : StoreStatus::Lost;
}

PlatformResponse unsent(std::string why, FailureCause cause = FailureCause::Store)
{
    PlatformResponse response;
    response.why = std::move(why);
    response.cause = cause;
    return response;
}

constexpr double burstSeconds = 0.5;

TokenBucket makeBudget(std::uint32_t callsPerSecond)
{
    const double rate = std::max(1U, callsPerSecond);
    return { rate, std::max(1.0, rate * burstSeconds) };
}

}

class PlatformClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const asio::any_io_executor& executor, const PlatformClientSettings& settings)
        : m_executor(executor)
        , m_strand(asio::make_strand(executor))
        , m_settings(settings)
        , m_reads(makeBudget(settings.readsPerSecond))
        , m_writes(makeBudget(settings.writesPerSecond))
        , m_pause(settings.failuresBeforePause, Backoff(settings.initialBackoff, settings.maxBackoff, std::make_unique<SeededRandom>(systemSeed())))
    {
    }

    void call(PlatformCall call, Handler handler)
    {
        asio::post(m_strand, [self = shared_from_this(), call = std::move(call), handler = std::move(handler)]() mutable {
            self->admit(std::move(call), std::move(handler));
        });
    }

    void stop()
    {
        asio::post(m_strand, [self = shared_from_this()] { self->doStop(); });
    }

    PlatformCounters counters() const
    {
        const std::lock_guard lock(m_countersMutex);
        return m_counters;
    }

    const PlatformClientSettings& settings() const { return m_settings; }

private:
    /// An admitted call and its progress.
    struct PendingCall {
        PlatformCall call;
        Handler handler;
        TimePoint deadline;
        bool wasRetried = false;
        std::unique_ptr<asio::steady_timer> waitTimer;
    };
    using PendingCallPtr = std::shared_ptr<PendingCall>;
    using ConnectionPtr = std::shared_ptr<PlatformConnection>;

    template <typename Change>
    void count(Change change)
    {
        const std::lock_guard lock(m_countersMutex);
        change(m_counters);
    }

    void admit(PlatformCall, Handler);
    void countCall(PlatformCallKind);
    void dispatch(const PendingCallPtr&);
    void enqueue(const PendingCallPtr&);
    void open(const PendingCallPtr&);
    void run(const PendingCallPtr&, const ConnectionPtr&, bool isReused);
    void onResult(const PendingCallPtr&, const ConnectionPtr&, bool isReused, HttpExchangeResult);
    void releaseConnection(const PendingCallPtr&, const ConnectionPtr&);
    void closeIdleConnections();
    void startNextWaitingCall();
    void recordStatus(StoreStatus);
    void finish(const PendingCallPtr&, PlatformResponse);
    void finishUnsent(const PendingCallPtr&, std::string why, FailureCause = FailureCause::Store);
    void deliver(Handler, PlatformResponse);
    void doStop();

    Duration timeLeft(const PendingCall& pending) const { return pending.deadline - m_clock.now(); }

    asio::any_io_executor m_executor;
    asio::strand<asio::any_io_executor> m_strand;
    PlatformClientSettings m_settings;
    SteadyClock m_clock;
    TokenBucket m_reads;
    TokenBucket m_writes;
    CallPause m_pause;
    bool m_isStopped = false;
    std::uint32_t m_poolSize = 0; ///< Pooled connections: opening, busy and idle ones.
    std::vector<ConnectionPtr> m_idle;
    std::set<ConnectionPtr> m_busy;
    std::deque<PendingCallPtr> m_waiting;
    mutable std::mutex m_countersMutex;
    PlatformCounters m_counters;
};

void PlatformClient::Impl::admit(PlatformCall call, Handler handler)
{
    const auto now = m_clock.now();
    if (m_isStopped)
        return deliver(std::move(handler), unsent("the client is stopped"));
    if (const auto left = m_pause.left(now); left > Duration {}) {
        count([](auto& counters) { ++counters.refusedByPause; });
        auto refused = unsent("calls pause after failures in a row", FailureCause::ClientPause);
        refused.pauseLeft = left;
        return deliver(std::move(handler), std::move(refused));
    }
    auto& budget = isWrite(call.kind) ? m_writes : m_reads;
    if (!budget.take(now)) {
        count([](auto& counters) { ++counters.refusedByBudget; });
        return deliver(std::move(handler), unsent("the call budget is used up"));
    }
    auto pending = std::make_shared<PendingCall>();
    const auto timeout = call.timeout == Duration {} ? m_settings.callTimeout : call.timeout;
    pending->deadline = now + timeout;
    pending->call = std::move(call);
    pending->handler = std::move(handler);
    dispatch(pending);
}

void PlatformClient::Impl::countCall(PlatformCallKind kind)
{
    count([kind](auto& counters) {
        switch (kind) {
        case PlatformCallKind::Read:
            ++counters.reads;
            return;
        case PlatformCallKind::Write:
        case PlatformCallKind::Create:
        case PlatformCallKind::Remove:
            ++counters.writes;
            return;
        case PlatformCallKind::List:
            ++counters.lists;
            return;
        case PlatformCallKind::Watch:
            ++counters.watches;
            return;
        case PlatformCallKind::Instances:
        case PlatformCallKind::Report:
            ++counters.instanceCalls;
            return;
        }
    });
}

void PlatformClient::Impl::dispatch(const PendingCallPtr& pending)
{
    if (pending->call.kind == PlatformCallKind::Watch)
        return open(pending);
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        m_idle.pop_back();
        if (connection->isOpen())
            return run(pending, connection, true);
        --m_poolSize;
    }
    if (m_poolSize < m_settings.maxConnections)
        return open(pending);
    enqueue(pending);
}

void PlatformClient::Impl::enqueue(const PendingCallPtr& pending)
{
    if (m_waiting.size() >= m_settings.maxWaitingCalls)
        return finishUnsent(pending, "too many calls wait for a connection");
    pending->waitTimer = std::make_unique<asio::steady_timer>(m_strand, timeLeft(*pending));
    pending->waitTimer->async_wait([self = shared_from_this(), pending](const boost::system::error_code& ec) {
        if (ec || std::erase(self->m_waiting, pending) == 0)
            return;
        self->finishUnsent(pending, "no connection was free in time");
    });
    m_waiting.push_back(pending);
}

void PlatformClient::Impl::open(const PendingCallPtr& pending)
{
    const bool isWatch = pending->call.kind == PlatformCallKind::Watch;
    if (!isWatch)
        ++m_poolSize;
    auto connection = makePlatformConnection(m_strand, m_settings.maxResponse, m_settings.epochHeader);
    m_busy.insert(connection);
    count([](auto& counters) { ++counters.connectionsOpened; });
    const auto timeout = std::min(m_settings.connectTimeout, timeLeft(*pending));
    connection->connect(m_settings.endpoint, timeout, [self = shared_from_this(), pending, connection](bool isConnected) {
        if (isConnected)
            return self->run(pending, connection, false);
        const auto cause = connection->lackedResources() ? FailureCause::LocalResources : FailureCause::Store;
        if (cause == FailureCause::Store)
            self->recordStatus(StoreStatus::Unavailable);
        self->releaseConnection(pending, connection);
        self->finishUnsent(pending, connection->failure(), cause);
    });
}

void PlatformClient::Impl::run(const PendingCallPtr& pending, const ConnectionPtr& connection, bool isReused)
{
    m_busy.insert(connection);
    countCall(pending->call.kind);
    const HttpExchange exchange { methodOf(pending->call.kind), pending->call.target, pending->call.body };
    connection->exchange(exchange, timeLeft(*pending), [self = shared_from_this(), pending, connection, isReused](HttpExchangeResult result) {
        self->onResult(pending, connection, isReused, std::move(result));
    });
}

void PlatformClient::Impl::onResult(const PendingCallPtr& pending, const ConnectionPtr& connection, bool isReused, HttpExchangeResult result)
{
    count([&](auto& counters) {
        counters.bytesSent += result.bytesSent;
        counters.bytesReceived += result.bytesReceived;
    });
    // Connections that have been idle as long may have no peer any more either.
    if (isReused && !result.hasResponse)
        closeIdleConnections();
    releaseConnection(pending, connection);
    const auto status = statusOf(result);
    const bool mayRetry = isReused && !result.hasResponse && !isWrite(pending->call.kind) && !pending->wasRetried && timeLeft(*pending) > Duration {};
    if (mayRetry && !m_isStopped) {
        pending->wasRetried = true;
        return dispatch(pending);
    }
    recordStatus(status);
    PlatformResponse response { status, std::move(result.body), parseHttpDate(result.date).value_or(0), parseDigits(result.epoch) };
    if (status != StoreStatus::Ok)
        response.why = result.hasResponse ? "status " + std::to_string(result.status) : connection->failure();
    finish(pending, std::move(response));
}

void PlatformClient::Impl::releaseConnection(const PendingCallPtr& pending, const ConnectionPtr& connection)
{
    m_busy.erase(connection);
    if (pending->call.kind == PlatformCallKind::Watch) {
        connection->close();
        return;
    }
    if (connection->isOpen() && !m_isStopped)
        m_idle.push_back(connection);
    else
        --m_poolSize;
    startNextWaitingCall();
}

void PlatformClient::Impl::closeIdleConnections()
{
    for (const auto& connection : m_idle)
        connection->close();
    m_poolSize -= static_cast<std::uint32_t>(m_idle.size());
    m_idle.clear();
}

void PlatformClient::Impl::startNextWaitingCall()
{
    if (m_waiting.empty() || (m_idle.empty() && m_poolSize >= m_settings.maxConnections))
        return;
    auto next = m_waiting.front();
    m_waiting.pop_front();
    next->waitTimer->cancel();
    dispatch(next);
}

void PlatformClient::Impl::recordStatus(StoreStatus status)
{
    if (status == StoreStatus::Unavailable)
        m_pause.onRefusal(m_clock.now());
    else
        m_pause.onSuccess();
}

void PlatformClient::Impl::finish(const PendingCallPtr& pending, PlatformResponse response)
{
    count([&](auto& counters) {
        if (response.status == StoreStatus::Lost)
            ++counters.lost;
        if (response.status == StoreStatus::Unavailable)
            ++counters.unavailable;
    });
    deliver(std::move(pending->handler), std::move(response));
}

void PlatformClient::Impl::finishUnsent(const PendingCallPtr& pending, std::string why, FailureCause cause)
{
    finish(pending, unsent(std::move(why), cause));
}

void PlatformClient::Impl::deliver(Handler handler, PlatformResponse response)
{
    asio::post(m_executor, [handler = std::move(handler), response = std::move(response)]() mutable { handler(std::move(response)); });
}

void PlatformClient::Impl::doStop()
{
    m_isStopped = true;
    closeIdleConnections();
    const auto busy = m_busy;
    for (const auto& connection : busy)
        connection->close();
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& pending : waiting) {
        pending->waitTimer->cancel();
        finishUnsent(pending, "the client is stopped");
    }
}

PlatformClient::PlatformClient(const asio::any_io_executor& executor, const PlatformClientSettings& settings)
    : m_impl(std::make_shared<Impl>(executor, settings))
{
}

PlatformClient::~PlatformClient()
{
    m_impl->stop();
}

void PlatformClient::call(PlatformCall call, Handler handler)
{
    m_impl->call(std::move(call), std::move(handler));
}

PlatformCounters PlatformClient::counters() const
{
    return m_impl->counters();
}

const PlatformClientSettings& PlatformClient::settings() const
{
    return m_impl->settings();
}

}
