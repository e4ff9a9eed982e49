#include "gateway/followed_states.h"

#include "base/quantity_text.h"

#include <chrono>
#include <sstream>

namespace lycheefield {

FollowedStates::FollowedStates(const Clock& clock, DecisionLog& log, Metrics& metrics)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

void FollowedStates::follow(FollowedObjects objects, Duration limit)
{
    if (limit == Duration {})
        return;
    const auto [it, isNew] = m_states.try_emplace(objects, limit, m_clock.now());
    const auto& state = it->second;
    const auto label = std::string("{objects=\"") + nameOf(objects) + "\"}";
    m_metrics.gauge("lycheefield_proof_age_seconds" + label, [this, &state] { return std::chrono::duration<double>(state.age(m_clock.now())).count(); });
    m_metrics.gauge("lycheefield_store_revision" + label, [&state] { return static_cast<double>(state.revision().number); });
    m_metrics.gauge("lycheefield_store_epoch" + label, [&state] { return static_cast<double>(state.revision().epoch); });
}

void FollowedStates::record(FollowedObjects objects, const StateProof& proof)
{
    const auto it = m_states.find(objects);
    if (it == m_states.end())
        return;
    it->second.record(proof);
    logChange(objects, it->second);
}

void FollowedStates::review()
{
    for (auto& [objects, state] : m_states)
        logChange(objects, state);
}

std::string FollowedStates::ageText(FollowedObjects objects) const
{
    const auto it = m_states.find(objects);
    return it == m_states.end() ? "none" : formatMilliseconds(it->second.age(m_clock.now()));
}

std::string FollowedStates::revisionText(FollowedObjects objects) const
{
    const auto it = m_states.find(objects);
    if (it == m_states.end())
        return "none";
    std::ostringstream text;
    text << it->second.revision();
    return text.str();
}

void FollowedStates::logChange(FollowedObjects objects, StateFreshness& state)
{
    const auto now = m_clock.now();
    const auto change = state.review(now);
    if (change == StateFreshness::Change::None)
        return;
    const bool isBehind = change == StateFreshness::Change::FellBehind;
    m_log.write(LineImportance::State, now, isBehind ? "state not proven current within its limit; the known state stays in force" : "state proven current again",
        { { "objects", nameOf(objects) }, { "proof_age_ms", formatMilliseconds(state.age(now)) }, { "limit_ms", formatMilliseconds(state.limit()) }, { "revision", std::to_string(state.revision().number) }, { "epoch", std::to_string(state.revision().epoch) } });
}

}
