#include "gateway/quota_driver.h"

#include <algorithm>

namespace lycheefield {

QuotaDriver::QuotaDriver(boost::asio::strand<boost::asio::io_context::executor_type>& strand, const Clock& clock, QuotaDecisionEvents& events, Metrics& metrics, DecisionLog& log, const InstanceName& self, const AdmissionSettings& settings)
    : m_clock(clock)
    , m_events(events)
    , m_log(log)
    , m_engine(self, settings)
    , m_timer(strand)
{
    const auto& counters = m_engine.counters();
    metrics.count("lycheefield_quota_admitted_total", [&counters] { return counters.admitted; });
    metrics.count("lycheefield_quota_refused_total", [&counters] { return counters.refused; });
    metrics.count("lycheefield_quota_asked_total", [&counters] { return counters.asked; });
    metrics.count("lycheefield_quota_fallback_total", [&counters] { return counters.fallback; });
}

void QuotaDriver::setDelegation(SearchDelegation& delegation)
{
    m_delegation = &delegation;
    delegation.setQuotaEvents(*this);
}

void QuotaDriver::setTeams(const TeamDirectory* teams)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.setTeams(teams ? teams->teams() : std::vector<Team>(), now, actions); });
    logRoles();
    connectToKeepers();
}

void QuotaDriver::setInstances(const std::vector<Instance>& instances, bool hadPredecessor, TimePoint askedAt)
{
    callEngine([&](TimePoint now, QuotaActions&) { m_engine.setInstances(instances, hadPredecessor, askedAt, now); });
    logRoles();
    connectToKeepers();
}

void QuotaDriver::logRoles()
{
    const auto now = m_clock.now();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration {}, m_engine.grantsFrom() - now));
    const auto write = [&](const TeamName& team, QuotaRole role) {
        m_log.write(LineImportance::State, now, "quota role changed", { { "team", team.value() }, { "role", toString(role) }, { "grants_in_ms", std::to_string(wait.count()) } });
    };
    for (const auto& [team, role] : m_loggedRoles) {
        if (!m_engine.roles().contains(team))
            write(team, QuotaRole::None);
    }
    for (const auto& [team, role] : m_engine.roles()) {
        const auto known = m_loggedRoles.find(team);
        if (known == m_loggedRoles.end() || known->second != role)
            write(team, role);
    }
    m_loggedRoles = m_engine.roles();
}

void QuotaDriver::connectToKeepers()
{
    if (!m_delegation || !m_engine.hasQuotas())
        return;
    const auto keepers = m_engine.keepers();
    for (const auto& it : keepers) {
        if (!m_connected.contains(it))
            m_delegation->send(it, QuotaCall {});
    }
    m_connected = keepers;
}

void QuotaDriver::onRequest(RequestNumber number, const TeamName& team)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onRequest(number, team, now, actions); });
}

void QuotaDriver::onQuotaCall(const InstanceName& from, const QuotaCall& call)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onCall(from, call, now, actions); });
}

void QuotaDriver::onQuotaReply(const InstanceName& from, const QuotaReply& reply)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onReply(from, reply, now, actions); });
}

void QuotaDriver::onQuotaCallUndelivered(std::uint64_t sequence, UndeliveredReason reason)
{
    const bool lacksResources = reason == UndeliveredReason::NoLocalResources;
    callEngine([&](TimePoint now, QuotaActions& actions) { lacksResources ? m_engine.onNotSent(sequence, now, actions) : m_engine.onUndelivered(sequence, now, actions); });
}

void QuotaDriver::execute(const QuotaActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* asked = std::get_if<AskKeeper>(&action))
            m_delegation->send(asked->instance, asked->call);
        else if (const auto* answered = std::get_if<AnswerCall>(&action))
            m_delegation->reply(answered->instance, answered->reply);
        else if (const auto* admitted = std::get_if<AdmitRequest>(&action))
            m_events.onWithinQuota(admitted->number);
        else if (const auto* refused = std::get_if<RefuseRequest>(&action))
            m_events.onOverQuota(refused->number, refused->retryAfter);
    }
    setTimer();
}

void QuotaDriver::setTimer()
{
    const auto wake = m_engine.nextWake();
    if (wake == m_timerAt)
        return;
    // A timer that is due earlier is left running; onTimer() does nothing then, and sets the later one.
    if (m_timerAt != never && m_timerAt < wake && wake != never)
        return;
    m_timerAt = wake;
    if (wake == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(Duration {}, wake - m_clock.now()));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_timerAt = never;
        callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onTimer(now, actions); });
    });
}

}
