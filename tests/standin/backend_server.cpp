#include "standin/backend_server.h"

#include <algorithm>
#include <cmath>

namespace lycheefield::standin {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusCancelled = 499;
constexpr unsigned statusFailed = 500;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusExpired = 504;
constexpr Duration shedRetryAfter { 50000 };

}

BackendCounters& BackendCounters::operator+=(const BackendCounters& other)
{
    received += other.received;
    ran += other.ran;
    shed += other.shed;
    expired += other.expired;
    cancelled += other.cancelled;
    crashes += other.crashes;
    receivedWhileDraining += other.receivedWhileDraining;
    busy += other.busy;
    wasted += other.wasted;
    return *this;
}

BackendServer::BackendServer(ServerName name, BackendBehaviour behaviour, std::uint64_t seed)
    : m_name(std::move(name))
    , m_behaviour(std::move(behaviour))
    , m_random(seed)
{
}

void BackendServer::setIndex(std::set<IndexVersion> versions, std::set<PartitionEpoch> epochs, std::map<ShardNumber, std::vector<BatchId>> batches)
{
    m_versions = std::move(versions);
    m_epochs = std::move(epochs);
    m_batches = std::move(batches);
}

void BackendServer::start(TimePoint now)
{
    m_upAt = now;
}

BackendResponse BackendServer::makeResponse(const BackendRequest& request, unsigned status, std::string reason) const
{
    BackendResponse response;
    response.connection = request.connection;
    response.key = request.key;
    response.status = status;
    response.reason = std::move(reason);
    response.version = request.version;
    response.epoch = request.epoch;
    response.traceparent = request.traceparent;
    response.versions.assign(m_versions.begin(), m_versions.end());
    response.draining = m_behaviour.draining && m_behaviour.marksDrain;
    return response;
}

std::string BackendServer::rejectionReason(const BackendRequest& request, TimePoint now)
{
    if (m_behaviour.draining)
        return "draining";
    if (!m_versions.contains(request.version))
        return "version-gone";
    if (!m_epochs.contains(request.epoch) || !m_batches.contains(request.shard))
        return "shard-moved";
    if (request.deadline <= now)
        return "expired";
    const bool isFull = m_running.size() >= m_behaviour.slots && m_queue.size() >= m_behaviour.maxQueue;
    if (isFull || m_random.unit() < m_behaviour.shedProbability)
        return "shed";
    return {};
}

void BackendServer::receive(const BackendRequest& request, TimePoint now, std::vector<BackendResponse>& out)
{
    ++m_counters.received;
    if (m_behaviour.draining) {
        ++m_counters.receivedWhileDraining;
        if (m_onReceivedWhileDraining)
            m_onReceivedWhileDraining(now);
    }
    const auto rejection = rejectionReason(request, now);
    if (rejection.empty()) {
        m_queue.push_back(request);
        fillSlots(now, out);
        return;
    }
    unsigned status = statusUnavailable;
    if (rejection == "version-gone" || rejection == "shard-moved")
        status = statusConflict;
    if (rejection == "expired")
        status = statusExpired;
    auto response = makeResponse(request, status, rejection);
    if (rejection == "shed") {
        ++m_counters.shed;
        response.retryAfter = shedRetryAfter;
    }
    out.push_back(std::move(response));
}

Duration BackendServer::drawServiceTime(TimePoint now)
{
    // Half fixed, half exponential: a plausible spread without rare extremes. Stragglers are configured separately.
    const double spread = 0.5 - 0.5 * std::log(1 - m_random.unit());
    double factor = spread * m_behaviour.slowFactor;
    if (m_random.unit() < m_behaviour.slowProbability)
        factor *= m_behaviour.slowMultiplier;
    if (now < m_upAt + m_behaviour.coldStart)
        factor *= m_behaviour.coldFactor;
    return std::max(Duration(1), scaled(m_behaviour.meanServiceTime, factor));
}

void BackendServer::begin(BackendRequest request, TimePoint now)
{
    RunningRequest running;
    running.start = now;
    running.end = now + drawServiceTime(now);
    running.crashes = !m_behaviour.crashMark.empty() && request.body.find(m_behaviour.crashMark) != std::string::npos;
    if (request.kind == RequestKind::Order)
        ++m_ordersRun[request.body];
    if (m_onBegin)
        m_onBegin(request, now);
    running.request = std::move(request);
    m_running.push_back(std::move(running));
}

void BackendServer::fillSlots(TimePoint now, std::vector<BackendResponse>& out)
{
    while (m_running.size() < m_behaviour.slots && !m_queue.empty()) {
        auto request = std::move(m_queue.front());
        m_queue.pop_front();
        if (request.deadline <= now) {
            ++m_counters.expired;
            out.push_back(makeResponse(request, statusExpired, "expired"));
            continue;
        }
        begin(std::move(request), now);
    }
}

void BackendServer::finish(const RunningRequest& running, std::vector<BackendResponse>& out)
{
    const auto spent = running.end - running.start;
    m_counters.busy += spent;
    ++m_counters.ran;
    if (running.end > running.request.deadline)
        m_counters.wasted += spent;
    if (m_random.unit() < m_behaviour.failProbability) {
        out.push_back(makeResponse(running.request, statusFailed, "failed"));
        return;
    }
    auto response = makeResponse(running.request, statusOk, {});
    const auto batches = m_batches.find(running.request.shard);
    if (batches != m_batches.end())
        response.batches = batches->second;
    response.body = running.request.body;
    if (m_onOutput)
        m_onOutput(response, running.request.shard);
    out.push_back(std::move(response));
}

void BackendServer::crash(TimePoint now)
{
    ++m_counters.crashes;
    dropAllRequests(now);
    m_upAt = now + m_behaviour.restartTime;
}

void BackendServer::kill(TimePoint now, Duration downFor)
{
    dropAllRequests(now);
    m_upAt = now + downFor;
}

void BackendServer::dropAllRequests(TimePoint now)
{
    for (const auto& it : m_running)
        m_counters.busy += now - it.start;
    m_running.clear();
    m_queue.clear();
}

void BackendServer::advance(TimePoint now, std::vector<BackendResponse>& out)
{
    while (nextWake() <= now) {
        const auto it = std::min_element(m_running.begin(), m_running.end(), [](const auto& a, const auto& b) { return a.end < b.end; });
        const RunningRequest done = std::move(*it);
        m_running.erase(it);
        if (done.crashes) {
            crash(done.end);
            return;
        }
        finish(done, out);
        fillSlots(done.end, out);
    }
}

void BackendServer::cancel(const LegKey& key, TimePoint now, std::vector<BackendResponse>& out)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto& it) { return it.key == key; });
    if (queued != m_queue.end()) {
        ++m_counters.cancelled;
        out.push_back(makeResponse(*queued, statusCancelled, "cancelled"));
        m_queue.erase(queued);
        return;
    }
    const auto running = std::find_if(m_running.begin(), m_running.end(), [&](const auto& it) { return it.request.key == key; });
    if (running == m_running.end() || running->request.kind == RequestKind::Order)
        return;
    ++m_counters.cancelled;
    m_counters.busy += now - running->start;
    m_counters.wasted += now - running->start;
    out.push_back(makeResponse(running->request, statusCancelled, "cancelled"));
    m_running.erase(running);
    fillSlots(now, out);
}

void BackendServer::dropConnection(std::uint64_t connection, TimePoint now)
{
    std::erase_if(m_queue, [&](const auto& it) { return it.connection == connection; });
    for (const auto& it : m_running) {
        if (it.request.connection == connection && it.request.kind != RequestKind::Order) {
            m_counters.busy += now - it.start;
            m_counters.wasted += now - it.start;
        }
    }
    // An order that has started runs to its end: closing the connection does not undo it.
    std::erase_if(m_running, [&](const auto& it) { return it.request.connection == connection && it.request.kind != RequestKind::Order; });
    std::vector<BackendResponse> none;
    fillSlots(now, none);
}

TimePoint BackendServer::nextWake() const
{
    TimePoint wake = never;
    for (const auto& it : m_running)
        wake = std::min(wake, it.end);
    return wake;
}

}
