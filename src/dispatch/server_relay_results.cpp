#include "dispatch/server_relay.h"

#include <utility>

namespace lycheefield {

LegResult ServerRelay::resultFor(const RelayLeg& leg, LegOutcome outcome, std::string detail) const
{
    LegResult result;
    result.key = leg.key();
    result.shard = leg.leg.shard;
    result.outcome = outcome;
    result.state = state();
    result.detail = std::move(detail);
    return result;
}

void ServerRelay::refuse(const RelayLeg& leg, LegOutcome outcome, std::string detail, TimePoint now, RelayActions& actions)
{
    auto& counters = m_shared.counters;
    if (outcome == LegOutcome::Expired)
        ++counters.expired;
    else if (outcome == LegOutcome::Refused || outcome == LegOutcome::NotHeld)
        ++counters.refused;
    else if (outcome == LegOutcome::Quarantined)
        ++counters.quarantined;
    if (leg.isProbe)
        m_shared.crashes.onProbeEnded(leg.order->fingerprint);
    m_shared.legs.erase(leg.key());
    auto result = resultFor(leg, outcome, std::move(detail));
    result.queueTime = now - leg.arrived;
    const auto isOverload = outcome == LegOutcome::Refused || outcome == LegOutcome::Expired;
    if (isOverload && !m_isDraining && m_role != RelayRole::None)
        result.retryAfter = expectedWait(leg, now);
    actions.push_back(ReturnResult { leg.order->entry, std::move(result) });
}

void ServerRelay::refuseWaiting(LegOutcome outcome, const std::string& detail, TimePoint now, RelayActions& actions)
{
    for (const auto& leg : m_queue.removeAll())
        refuse(leg, outcome, detail, now, actions);
    if (m_probe)
        refuse(*std::exchange(m_probe, std::nullopt), outcome, detail, now, actions);
}

void ServerRelay::finish(const RunningLeg& running, LegResult result, TimePoint now, RelayActions& actions)
{
    const auto isTooLate = running.isExpired || running.leg.deadline() < now;
    if (result.outcome == LegOutcome::Ok && (running.isCancelled || isTooLate))
        ++m_shared.counters.wasted;
    m_shared.legs.erase(running.leg.key());
    if (running.isEntryDisconnected)
        return;
    result.queueTime = running.sent - running.leg.arrived;
    result.serviceTime = now - running.sent;
    actions.push_back(ReturnResult { running.leg.order->entry, std::move(result) });
}

}
