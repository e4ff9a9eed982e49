#include "gateway/quota_driver.h"

#include "base/random_source.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Lines about roles that change at the same time; a fleet may have thousands of teams.
constexpr std::uint32_t maxRoleLines = 200;
/// Characters of the names of instances.
constexpr std::size_t maxNamesInLine = 400;

}

QuotaDriver::QuotaDriver(boost::asio::strand<boost::asio::io_context::executor_type>& strand, const Clock& clock, QuotaDecisionEvents& events, Metrics& metrics, DecisionLog& log, const InstanceName& self, const AdmissionSettings& settings)
    : m_clock(clock)
    , m_events(events)
    , m_log(log)
    , m_engine(self, settings, systemSeed())
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
    connectToKeepers();
}

void QuotaDriver::setInstances(const InstanceListing& listing)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.setInstances(listing, now, actions); });
    connectToKeepers();
}

void QuotaDriver::setGone(const std::set<InstanceName>& gone)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.setGone(gone, now, actions); });
    connectToKeepers();
}

void QuotaDriver::onObjectLost()
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onObjectLost(now, actions); });
}

void QuotaDriver::resign()
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.resign(now, actions); });
}

void QuotaDriver::end()
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.end(now, actions); });
}

void QuotaDriver::announceEnd()
{
    for (const auto& it : m_engine.otherInstances())
        m_delegation->sendOnAnyConnection(it, RoleResignation { m_delegation->life(), true });
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

void QuotaDriver::onRoleClaim(const InstanceName& from, const RoleClaim& claim)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onClaim(from, claim, now, actions); });
}

void QuotaDriver::onRoleClaimReply(const InstanceName& from, const RoleClaimReply& reply)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onClaimReply(from, reply, now, actions); });
}

void QuotaDriver::onRoleResignation(const InstanceName& from, const RoleResignation& resignation)
{
    callEngine([&](TimePoint now, QuotaActions& actions) { m_engine.onResignation(from, resignation, now, actions); });
    if (resignation.hasEnded && m_registry)
        m_registry->recordEndOf(from, resignation.life);
}

void QuotaDriver::execute(const QuotaActions& actions)
{
    m_roleLinesLeft = maxRoleLines;
    for (const auto& action : actions)
        std::visit([this](const auto& it) { execute(it); }, action);
    setTimer();
}

void QuotaDriver::execute(const AskKeeper& asked)
{
    if (m_delegation->isPeer(asked.instance))
        m_delegation->send(asked.instance, asked.call);
    else
        m_delegation->sendOnAnyConnection(asked.instance, asked.call);
}

void QuotaDriver::execute(const AnswerCall& answered)
{
    m_delegation->sendOnAnyConnection(answered.instance, answered.reply);
}

void QuotaDriver::execute(const SendClaim& action)
{
    const auto& [to, claim, usesOwnConnection] = action.claim;
    if (!m_delegation)
        return;
    if (usesOwnConnection && m_delegation->isPeer(to))
        m_delegation->send(to, claim);
    else
        m_delegation->sendOnAnyConnection(to, claim);
}

void QuotaDriver::execute(const AnswerClaim& answered)
{
    m_delegation->sendOnAnyConnection(answered.instance, answered.reply);
}

void QuotaDriver::execute(const AnnounceResignation& announced)
{
    m_delegation->sendOnAnyConnection(announced.instance, RoleResignation { m_delegation->life() });
}

void QuotaDriver::execute(const ListInstances&)
{
    if (m_registry)
        m_registry->listInstances();
}

void QuotaDriver::execute(const DeclareRoles&)
{
    if (m_registry)
        m_registry->declareRoles();
}

void QuotaDriver::execute(const ReportRole& report)
{
    if (!mayWriteRoleLine())
        return;
    const auto level = std::to_string(static_cast<std::int64_t>(report.credit.level));
    m_log.write(LineImportance::State, m_clock.now(), report.isGained ? "quota role gained" : "quota role lost",
        { { "team", report.role.team.value() }, { "role", toString(report.role.role) }, { "permits", level } });
}

void QuotaDriver::execute(const ReportRoleWait& report)
{
    if (!mayWriteRoleLine())
        return;
    const auto& wait = report.wait;
    std::string names;
    for (const auto& it : wait.silent)
        names.append(names.empty() ? "" : " ").append(it.value());
    if (names.size() > maxNamesInLine)
        names = names.substr(0, names.rfind(' ', maxNamesInLine)) + " ...";
    const auto now = m_clock.now();
    const auto millis = [](Duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    m_log.write(LineImportance::State, now, "quota role awaited; it is gained when these instances have answered, or after the time",
        { { "team", wait.role.team.value() }, { "role", toString(wait.role.role) }, { "waited_ms", millis(now - wait.since) }, { "silent", std::to_string(wait.silent.size()) }, { "instances", names }, { "left_ms", millis(std::max(Duration {}, wait.until - now)) } });
}

bool QuotaDriver::mayWriteRoleLine()
{
    if (m_roleLinesLeft == 0)
        return false;
    if (--m_roleLinesLeft > 0)
        return true;
    m_log.write(LineImportance::State, m_clock.now(), "quota roles changed or are awaited; further ones are not listed", {});
    return false;
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
