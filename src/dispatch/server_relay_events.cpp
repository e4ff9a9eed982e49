#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Connections that die within this time of the first belong to one crash.
constexpr Duration crashWindow = 200ms;

}

void ServerRelay::onConnected(ConnectionId id, TimePoint now, RelayActions& actions)
{
    if (!m_pool.onConnected(id)) {
        actions.push_back(CloseConnection { m_server.name, id });
        return;
    }
    if (m_drainSigns.isUnreachable()) {
        m_drainSigns.onConnected();
        m_serviceTime.reset();
        if (m_shared.settings.slowStart)
            m_limit.startSlowly(now, m_shared.settings.slowStartTime);
        afterDrainSign(now, actions);
    }
    dispatch(now, actions);
}

void ServerRelay::onConnectionLost(ConnectionId id, bool bytesHanded, TimePoint now, RelayActions& actions)
{
    const auto wasRefused = m_pool.onLost(id, now);
    if (wasRefused && m_pool.openCount() == 0) {
        m_drainSigns.onUnreachable();
        afterDrainSign(now, actions);
    }
    const auto it = m_running.find(id);
    if (it != m_running.end()) {
        const auto running = std::move(it->second);
        m_running.erase(it);
        auto result = resultFor(running.leg, LegOutcome::Refused, "the connection died before the leg was sent");
        if (bytesHanded) {
            result.outcome = LegOutcome::Lost;
            result.detail = "the connection died while the leg ran";
            result.crashed = true;
            recordCrash(running, now, actions);
            recordFailure(running.leg.order->fingerprint, now, actions);
        } else if (running.leg.isProbe) {
            m_shared.crashes.onProbeEnded(running.leg.order->fingerprint);
        }
        finish(running, std::move(result), now, actions);
    }
    dispatch(now, actions);
}

void ServerRelay::recordCrash(const RunningLeg& running, TimePoint now, RelayActions& actions)
{
    ++m_shared.counters.crashes;
    if (m_crash.at == never || now - m_crash.at > crashWindow) {
        m_shared.lastCrash = CrashId(m_shared.lastCrash.value() + 1);
        m_crash = { m_shared.lastCrash, now, ConnectionId(m_shared.connections.lastId) };
    }
    if (m_shared.settings.quarantine)
        m_shared.crashes.onCrash(running.leg.order->fingerprint, { m_server.name, running.leg.leg.shard }, m_crash.id, running.leg.isProbe, now, actions);
}

void ServerRelay::noteAlive(ConnectionId id, const RunningLeg& running, RelayActions& actions)
{
    const auto outlivedCrash = m_crash.at != never && running.sent > m_crash.at && id <= m_crash.newestConnection;
    if (!outlivedCrash)
        return;
    m_shared.crashes.dismiss(m_crash.id, actions);
    m_crash.at = never;
}

void ServerRelay::onServerAnswer(ConnectionId id, const ServerAnswer& answer, TimePoint now, RelayActions& actions)
{
    if (!answer.versions.empty())
        setVersions(answer.versions);
    if (answer.draining) {
        m_drainSigns.onDrainingAnswer(now);
        afterDrainSign(now, actions);
    }
    const auto it = m_running.find(id);
    if (it == m_running.end() || it->second.leg.key() != answer.key) {
        ++m_shared.counters.wasted;
        return;
    }
    const auto running = std::move(it->second);
    m_running.erase(it);
    m_pool.release(id);
    noteAlive(id, running, actions);
    noteOutcome(running, answer, now, actions);
    auto result = resultFor(running.leg, answer.outcome, answer.detail);
    result.version = answer.version;
    result.epoch = answer.epoch;
    result.batches = answer.batches;
    result.body = answer.body;
    result.retryAfter = answer.retryAfter;
    finish(running, std::move(result), now, actions);
    dispatch(now, actions);
}

void ServerRelay::noteOutcome(const RunningLeg& running, const ServerAnswer& answer, TimePoint now, RelayActions& actions)
{
    const auto fingerprint = running.leg.order->fingerprint;
    const auto time = now - running.sent;
    switch (answer.outcome) {
    case LegOutcome::Ok:
        if (m_shared.settings.quarantine)
            m_shared.crashes.onSuccess(fingerprint, now, actions);
        noteSuccess(time, now);
        break;
    case LegOutcome::Failed:
        if (m_shared.settings.quarantine)
            m_shared.crashes.onSuccess(fingerprint, now, actions);
        recordFailure(fingerprint, now, actions);
        break;
    case LegOutcome::Refused:
        if (!answer.draining)
            m_limit.onShed(answer.retryAfter, now);
        break;
    case LegOutcome::Cancelled:
        // It would have taken at least this long.
        if (time > m_serviceTime.mean() && m_serviceTime.samples() > 0)
            m_serviceTime.add(time);
        break;
    default:
        break;
    }
    if (running.leg.isProbe)
        m_shared.crashes.onProbeEnded(fingerprint);
}

void ServerRelay::noteSuccess(Duration time, TimePoint now)
{
    m_limit.onSuccess();
    m_serviceTime.add(time);
    if (!m_ejection.onSuccess())
        return;
    peers().setOut(m_server.name, m_isDraining);
    if (m_shared.settings.slowStart)
        m_limit.startSlowly(now, m_shared.settings.slowStartTime);
}

void ServerRelay::recordFailure(Fingerprint fingerprint, TimePoint now, RelayActions& actions)
{
    if (m_ejection.onFailure(fingerprint) && m_shared.settings.ejection)
        eject(now, actions);
}

void ServerRelay::eject(TimePoint now, RelayActions& actions)
{
    if (!peers().mayTakeOut(m_server.name, m_shared.settings.ejectionFloor))
        return;
    m_ejection.eject(now, m_shared.settings.ejectionTime);
    ++m_shared.counters.ejections;
    peers().setOut(m_server.name, true);
    actions.push_back(AnnounceServer { state() });
}

void ServerRelay::onHealth(const HealthReport& report, TimePoint now, RelayActions& actions)
{
    if (!report.versions.empty())
        setVersions(report.versions);
    m_drainSigns.onHealth(report.draining, now);
    afterDrainSign(now, actions);
    dispatch(now, actions);
}

void ServerRelay::onDrainNews(TimePoint markedAt, TimePoint now, RelayActions& actions)
{
    m_drainSigns.onNews(markedAt);
    m_drainSigns.onTime(now);
    afterDrainSign(now, actions, true);
    dispatch(now, actions);
}

TimePoint ServerRelay::drainMarkedAt() const
{
    return m_isDraining && !m_drainSigns.isLeaving() ? m_drainingSince : never;
}

void ServerRelay::afterDrainSign(TimePoint now, RelayActions& actions, bool isNews)
{
    auto isDraining = m_drainSigns.any();
    // Health reports mislead: alone they take out no more servers than ejection may.
    if (isDraining && !m_isDraining && m_drainSigns.isHealthOnly() && !peers().mayTakeOut(m_server.name, m_shared.settings.ejectionFloor))
        isDraining = false;
    if (m_isDraining == isDraining)
        return;
    m_isDraining = isDraining;
    m_drainingSince = isDraining ? now : never;
    peers().setOut(m_server.name, isDraining || m_ejection.state() != Ejection::State::InUse);
    if (!isNews)
        actions.push_back(AnnounceServer { state() });
    if (isDraining)
        refuseWaiting(LegOutcome::Refused, "the server is draining", now, actions);
}

}
