#include "dispatch/server_relay.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Connections that break within this time of the first belong to one crash.
constexpr Duration crashWindow = 200ms;

}

void ServerRelay::onConnected(ConnectionId id, TimePoint now, RelayActions& actions)
{
    if (!m_pool.onConnected(id)) {
        actions.push_back(CloseConnection { m_server.name, id });
        return;
    }
    if (m_drainSignals.isUnreachable()) {
        m_drainSignals.onConnected();
        m_serviceTime.reset();
        if (m_shared.settings.slowStart)
            m_limit.beginSlowStart(now, m_shared.settings.slowStartTime);
        updateDraining(now, actions);
    }
    dispatch(now, actions);
}

void ServerRelay::onConnectionLost(ConnectionId id, bool bytesWritten, TimePoint now, RelayActions& actions)
{
    const auto wasRefused = m_pool.onLost(id, now);
    if (wasRefused && m_pool.openCount() == 0) {
        m_drainSignals.onUnreachable();
        updateDraining(now, actions);
    }
    const auto it = m_running.find(id);
    if (it != m_running.end()) {
        const auto running = std::move(it->second);
        m_running.erase(it);
        auto result = resultFor(running.leg, LegOutcome::Refused, "the connection to the server broke before the leg was sent; retry");
        if (bytesWritten) {
            result.outcome = LegOutcome::Lost;
            result.detail = "the connection to the server broke while the leg was in flight; the leg may have run";
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

void ServerRelay::onConnectionNotOpened(ConnectionId id, TimePoint now, RelayActions& actions)
{
    m_pool.onNotOpened(id, now);
    if (m_pool.lacksResources())
        refuseWaiting(LegOutcome::NotHeld, "this relay's process lacks descriptors, ports or memory for a connection to the server; send the leg to another relay", now, actions);
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

void ServerRelay::checkSurvivedCrash(ConnectionId id, const RunningLeg& running, RelayActions& actions)
{
    const auto survivedCrash = m_crash.at != never && running.sent > m_crash.at && id <= m_crash.newestConnection;
    if (!survivedCrash)
        return;
    m_shared.crashes.retractCrash(m_crash.id, actions);
    m_crash.at = never;
}

void ServerRelay::onLegResponse(ConnectionId id, const LegResponse& response, TimePoint now, RelayActions& actions)
{
    if (!response.versions.empty())
        setVersions(response.versions);
    if (response.draining) {
        m_drainSignals.onDrainingResponse(now);
        updateDraining(now, actions);
    }
    const auto it = m_running.find(id);
    if (it == m_running.end() || it->second.leg.key() != response.key) {
        ++m_shared.counters.wasted;
        return;
    }
    const auto running = std::move(it->second);
    m_running.erase(it);
    m_pool.release(id);
    checkSurvivedCrash(id, running, actions);
    recordOutcome(running, response, now, actions);
    auto result = resultFor(running.leg, response.outcome, response.detail);
    result.version = response.version;
    result.epoch = response.epoch;
    result.batches = response.batches;
    result.body = response.body;
    result.retryAfter = response.retryAfter;
    finish(running, std::move(result), now, actions);
    dispatch(now, actions);
}

void ServerRelay::recordOutcome(const RunningLeg& running, const LegResponse& response, TimePoint now, RelayActions& actions)
{
    const auto fingerprint = running.leg.order->fingerprint;
    const auto time = now - running.sent;
    switch (response.outcome) {
    case LegOutcome::Ok:
        if (m_shared.settings.quarantine)
            m_shared.crashes.onSuccess(fingerprint, now, actions);
        recordSuccess(time, now);
        break;
    case LegOutcome::Failed:
        if (m_shared.settings.quarantine)
            m_shared.crashes.onSuccess(fingerprint, now, actions);
        recordFailure(fingerprint, now, actions);
        break;
    case LegOutcome::Refused:
        if (!response.draining)
            m_limit.onShed(response.retryAfter, now);
        break;
    case LegOutcome::Cancelled:
        // A cancelled leg gives a lower bound of its service time.
        if (time > m_serviceTime.mean() && m_serviceTime.samples() > 0)
            m_serviceTime.add(time);
        break;
    default:
        break;
    }
    if (running.leg.isProbe)
        m_shared.crashes.onProbeEnded(fingerprint);
}

void ServerRelay::recordSuccess(Duration time, TimePoint now)
{
    m_limit.onSuccess();
    m_serviceTime.add(time);
    if (!m_ejection.onSuccess())
        return;
    serverGroup().setOutOfUse(m_server.name, m_isDraining);
    if (m_shared.settings.slowStart)
        m_limit.beginSlowStart(now, m_shared.settings.slowStartTime);
}

void ServerRelay::recordFailure(Fingerprint fingerprint, TimePoint now, RelayActions& actions)
{
    if (m_ejection.onFailure(fingerprint) && m_shared.settings.ejection)
        eject(now, actions);
}

void ServerRelay::eject(TimePoint now, RelayActions& actions)
{
    if (!serverGroup().mayTakeOutOfUse(m_server.name, m_shared.settings.ejectionFloor))
        return;
    m_ejection.eject(now, m_shared.settings.ejectionTime);
    ++m_shared.counters.ejections;
    serverGroup().setOutOfUse(m_server.name, true);
    actions.push_back(AnnounceServerState { state() });
}

void ServerRelay::onHealth(const HealthReport& report, TimePoint now, RelayActions& actions)
{
    if (!report.versions.empty())
        setVersions(report.versions);
    m_drainSignals.onHealth(report.draining, now);
    updateDraining(now, actions);
    dispatch(now, actions);
}

void ServerRelay::onDrainAnnounced(TimePoint markedAt, TimePoint now, RelayActions& actions)
{
    m_drainSignals.onAnnouncement(markedAt);
    m_drainSignals.onTimer(now);
    updateDraining(now, actions, true);
    dispatch(now, actions);
}

TimePoint ServerRelay::drainMarkedAt() const
{
    return m_isDraining && !m_drainSignals.isLeaving() ? m_drainingSince : never;
}

void ServerRelay::updateDraining(TimePoint now, RelayActions& actions, bool isAnnounced)
{
    auto isDraining = m_drainSignals.any();
    // Health reports may be wrong: alone they take no more servers out of use than ejection may.
    if (isDraining && !m_isDraining && m_drainSignals.isByHealthReportOnly() && !serverGroup().mayTakeOutOfUse(m_server.name, m_shared.settings.ejectionFloor))
        isDraining = false;
    if (m_isDraining == isDraining)
        return;
    m_isDraining = isDraining;
    m_drainingSince = isDraining ? now : never;
    serverGroup().setOutOfUse(m_server.name, isDraining || m_ejection.state() != Ejection::State::InUse);
    if (!isAnnounced)
        actions.push_back(AnnounceServerState { state() });
    if (isDraining)
        refuseWaiting(LegOutcome::Refused, "the server is draining and takes no new legs; choose another replica", now, actions);
}

}
