#include "forward/forward_engine.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// Crashes of a search are announced at once from this number on. A server that crashes by itself breaks legs
/// of many searches, which their replicas then serve.
constexpr std::uint32_t minSearchCrashesToAnnounce = 2;
/// From a broken connection until the check whether its server still runs. A process that ends closes its sockets one after
/// the other, and the one that accepts connections may be the last.
constexpr Duration checkDelay = 50ms;
/// From a check that this machine could not make to the next one.
constexpr Duration checkRetryDelay = 250ms;
/// A server that crashed is expected back within this time.
constexpr Duration serverRestartTime = 4s;

}

CrashedAttempt ForwardEngine::crashedAttempt(const Attempt& attempt)
{
    const auto& entry = attempt.server->entry;
    return { entry.name, entry.service, attempt.sequence, attempt.isProbe, attempt.isSearch, attempt.isUnserved };
}

void ForwardEngine::recordCrash(const Attempt& attempt, TimePoint now)
{
    const auto& entry = attempt.server->entry;
    m_evidence.recordCrash(attempt.content, crashedAttempt(attempt), now);
    if (m_checkedServers.try_emplace(entry.name, entry).second)
        m_dueChecks.emplace(now + checkDelay, entry);
}

void ForwardEngine::sendDueChecks(TimePoint now, ForwardActions& actions)
{
    while (!m_dueChecks.empty() && m_dueChecks.begin()->first <= now) {
        const auto entry = m_dueChecks.begin()->second;
        m_dueChecks.erase(m_dueChecks.begin());
        // Nothing is sent into a drained zone. The crash stays unconfirmed, so it doesn't count.
        if (m_pool.isDrained(entry.zone))
            m_checkedServers.erase(entry.name);
        else
            actions.emplace_back(CheckServer { entry });
    }
    for (const auto& it : m_cancelledAttempts.takeDueChecks(now)) {
        if (m_pool.isDrained(it->entry.zone))
            m_cancelledAttempts.forgetChecked(it->entry.name);
        else if (m_checkedServers.try_emplace(it->entry.name, it->entry).second)
            actions.emplace_back(CheckServer { it->entry, true });
    }
}

void ForwardEngine::onServerChecked(const ServerName& server, ServerCheck check, TimePoint now, ForwardActions& actions)
{
    const auto checked = m_checkedServers.find(server);
    if (checked != m_checkedServers.end() && check == ServerCheck::NotMade) {
        m_dueChecks.emplace(now + checkRetryDelay, checked->second);
        return;
    }
    m_checkedServers.erase(server);
    if (check == ServerCheck::Ended) {
        for (const auto& it : m_cancelledAttempts.take(server))
            m_evidence.recordCrash(it.content, it.crash, now);
    } else {
        m_cancelledAttempts.forgetChecked(server);
    }
    const bool isWithdrawn = check == ServerCheck::Running && m_evidence.withdrawCrashes(server);
    if (isWithdrawn || check != ServerCheck::Running)
        actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, {}, "server checked", "server=" + server.value() + " result=" + std::string(toString(check)) });
    if (check == ServerCheck::Running)
        return;
    for (const auto& it : m_evidence.confirmCrashes(server, now)) {
        const auto crashes = m_evidence.crashesOf(it.content, now);
        if (it.startsQuarantine)
            actions.emplace_back(LogForwardDecision { DecisionImportance::Failure, {}, "request quarantined",
                "content=" + std::to_string(it.content.value()) + " crashes=" + std::to_string(crashes) + " last_server=" + server.value() });
        if (it.startsQuarantine || it.isUnserved || !it.isSearchLeg || crashes >= minSearchCrashesToAnnounce)
            announceCrashes(it, server, now, actions);
    }
}

CrashNews ForwardEngine::newsOf(Fingerprint content, TimePoint now) const
{
    // Servers that crashed at one moment count as one crash; they make the content suspect at the other instances as well.
    const bool isSuspect = m_evidence.standingOf(content, now) == ContentStanding::Suspect;
    const auto crashes = std::max(m_evidence.crashesOf(content, now), isSuspect ? minSuspectCrashes : 0);
    return { content, crashes, m_evidence.remainingQuarantine(content, now), {} };
}

void ForwardEngine::announceCrashes(const ConfirmedCrash& crash, const ServerName& server, TimePoint now, ForwardActions& actions)
{
    auto news = newsOf(crash.content, now);
    news.server = server;
    news.service = crash.service;
    actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, {}, "crash announced", "content=" + std::to_string(news.fingerprint.value()) + " crashes=" + std::to_string(news.crashes) + " server=" + server.value() });
    actions.emplace_back(AnnounceContentCrash { std::move(news) });
}

void ForwardEngine::announceUnservedCrashes(const Request& request, TimePoint now, ForwardActions& actions)
{
    const auto content = request.request.content;
    if (m_evidence.isEmpty() || !request.route().isSearch())
        return;
    bool isAnnounced = false;
    for (const auto& leg : request.legs) {
        if (leg.stage == LegStage::Done)
            continue;
        const auto server = m_evidence.recordUnserved(content, leg.service, now);
        if (server && !std::exchange(isAnnounced, true))
            announceCrashes({ content, leg.service }, *server, now, actions);
    }
}

void ForwardEngine::recordServed(const Attempt& attempt, TimePoint now, ForwardActions& actions)
{
    if (m_evidence.isEmpty())
        return;
    const auto& service = attempt.server->entry.service;
    const auto before = newsOf(attempt.content, now);
    const auto effect = m_evidence.recordServed(attempt.content, service, now);
    const bool isKnownElsewhere = !attempt.isSearch || before.crashes >= minSearchCrashesToAnnounce || before.quarantine > Duration {};
    if (effect != SuccessEffect::None && isKnownElsewhere)
        actions.emplace_back(AnnounceContentCrash { { attempt.content, 0, {}, {}, service } });
    auto* request = find(attempt.request);
    if (!request || !(attempt.isProbe || effect == SuccessEffect::ContentCleared))
        return;
    request->hasPassedProbe = true;
    for (auto& leg : request->legs) {
        if (leg.stage == LegStage::Unsent)
            leg.hedgeAt = now;
    }
}

void ForwardEngine::onCrashAnnounced(const CrashNews& news, TimePoint now, ForwardActions& actions)
{
    const auto before = m_evidence.standingOf(news.fingerprint, now);
    m_evidence.recordCrashNews(news, now);
    const auto after = m_evidence.standingOf(news.fingerprint, now);
    if (after != before)
        actions.emplace_back(LogForwardDecision { DecisionImportance::Extra, {}, "another instance announced crashes",
            "content=" + std::to_string(news.fingerprint.value()) + " crashes=" + std::to_string(news.crashes) + " server=" + news.server.value() + " before=" + std::string(toString(before)) + " now=" + std::string(toString(after)) });
}

ContentStanding ForwardEngine::standingOf(const Request& request, TimePoint now) const
{
    return m_evidence.isEmpty() ? ContentStanding::Clear : m_evidence.standingOf(request.request.content, now);
}

bool ForwardEngine::awaitsSimultaneousCrashes(const Request& request, TimePoint now) const
{
    if (!request.route().isSearch() || request.hasPassedProbe)
        return false;
    const auto lastCrash = m_evidence.lastCrashOf(request.request.content, now);
    return lastCrash && now < *lastCrash + simultaneousCrashTime;
}

bool ForwardEngine::mayRunContent(const Request& request, TimePoint now) const
{
    if (awaitsSimultaneousCrashes(request, now))
        return false;
    switch (standingOf(request, now)) {
    case ContentStanding::Clear:
        return true;
    case ContentStanding::Quarantined:
        return false;
    case ContentStanding::Suspect:
        break;
    }
    // The check of a crash, which takes a round trip, may quarantine the content.
    return request.hasPassedProbe || (!hasAttemptInFlight(request) && !m_evidence.hasUnconfirmed(request.request.content, now));
}

Duration ForwardEngine::untilProbeAllowed(const Request& request, const Leg& leg, TimePoint now) const
{
    if (!request.route().isSearch() || request.hasPassedProbe || standingOf(request, now) != ContentStanding::Suspect)
        return {};
    const auto content = request.request.content;
    const auto lastCrash = m_evidence.lastCrashOf(content, now);
    const bool isAtRisk = lastCrash && now < *lastCrash + serverRestartTime && m_pool.hasOneRunningServer(leg.service, m_evidence.crashedServersOf(content, now));
    return isAtRisk ? *lastCrash + serverRestartTime - now : Duration {};
}

void ForwardEngine::endLegsWithoutProbe(Request& request, TimePoint now)
{
    const auto mayProbe = [&](const Leg& leg) { return isWaiting(leg) && untilProbeAllowed(request, leg, now) == Duration {}; };
    if (std::none_of(request.legs.begin(), request.legs.end(), mayProbe))
        endUnsentLegs(request);
}

bool ForwardEngine::hasAttemptInFlight(const Request& request)
{
    return std::any_of(request.legs.begin(), request.legs.end(), [](const Leg& leg) { return !leg.inFlight.empty(); });
}

void ForwardEngine::reviewProbe(Request& request, TimePoint now, ForwardActions& actions)
{
    for (const bool wantsCrashed : { true, false }) {
        for (std::size_t i = 0; i < request.legs.size(); ++i) {
            const auto& leg = request.legs[i];
            if (leg.stage != LegStage::Unsent || m_evidence.hasCrashedIn(request.request.content, leg.service, now) != wantsCrashed)
                continue;
            if (trySend(request, i, false, now, actions))
                return;
        }
    }
}

void ForwardEngine::endUnsentLegs(Request& request)
{
    for (auto& leg : request.legs) {
        if (leg.stage == LegStage::Unsent)
            endLeg(request, leg, LegStage::Missing);
    }
}

Duration ForwardEngine::quarantineRemaining(const Request& request, TimePoint now) const
{
    return m_evidence.isEmpty() ? Duration {} : m_evidence.remainingQuarantine(request.request.content, now);
}

}
