#include "forward/forward_engine.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Crashes of a search are announced at once from this number on. A server that crashes by itself breaks legs
/// of many searches, which their replicas then serve.
constexpr std::uint32_t minSearchCrashesToAnnounce = 2;

std::string crashText(Fingerprint content, std::uint32_t crashes)
{
    return "content=" + std::to_string(content.value()) + " crashes=" + std::to_string(crashes);
}

}

void ForwardEngine::recordCrash(const Attempt& attempt, TimePoint now, ForwardActions& actions)
{
    const auto& entry = attempt.server->entry;
    const CrashedAttempt crashed { entry.name, entry.service, attempt.sequence, attempt.isProbe };
    const bool wasQuarantined = m_evidence.standingOf(attempt.content, now) == ContentStanding::Quarantined;
    const auto crashesBefore = m_evidence.crashesOf(attempt.content, now);
    m_evidence.recordCrash(attempt.content, crashed, now);
    const auto crashes = m_evidence.crashesOf(attempt.content, now);
    const bool isQuarantined = m_evidence.standingOf(attempt.content, now) == ContentStanding::Quarantined;
    if (isQuarantined && !wasQuarantined)
        actions.emplace_back(LogForwardDecision { DecisionImportance::Failure, attempt.attemptId, "request quarantined",
            crashText(attempt.content, crashes) + (attempt.isProbe ? " why=its probe crashed a server" : " why=servers crashed three times while running its content") });
    const bool isNews = crashes > crashesBefore || isQuarantined != wasQuarantined;
    if (isNews && (!attempt.isSearch || isQuarantined || crashes >= minSearchCrashesToAnnounce))
        announceCrashes(attempt.content, crashed, now, actions);
}

CrashNews ForwardEngine::newsOf(Fingerprint content, TimePoint now) const
{
    return { content, m_evidence.crashesOf(content, now), m_evidence.remainingQuarantine(content, now), {} };
}

void ForwardEngine::announceCrashes(Fingerprint content, const CrashedAttempt& attempt, TimePoint now, ForwardActions& actions)
{
    auto news = newsOf(content, now);
    news.server = attempt.server;
    news.service = attempt.service;
    actions.emplace_back(AnnounceContentCrash { std::move(news) });
}

void ForwardEngine::announceCrashesOfFailed(const Request& request, const ForwardAnswer& answer, TimePoint now, ForwardActions& actions)
{
    const bool isServed = answer.kind == ForwardAnswerKind::Search || answer.kind == ForwardAnswerKind::PassThrough;
    const auto content = request.request.content;
    const auto crashes = m_evidence.crashesOf(content, now);
    if (isServed || !request.route().isSearch() || crashes == 0 || crashes >= minSearchCrashesToAnnounce)
        return;
    for (const auto& leg : request.legs) {
        if (!m_evidence.hasCrashedIn(content, leg.service, now))
            continue;
        announceCrashes(content, { leg.tried.empty() ? ServerName() : leg.tried.front()->entry.name, leg.service, {}, false }, now, actions);
        return;
    }
}

void ForwardEngine::recordServed(const Attempt& attempt, const ServerResponse& response, TimePoint now, ForwardActions& actions)
{
    if (m_evidence.isEmpty())
        return;
    const auto& entry = attempt.server->entry;
    m_evidence.recordSurvival(entry.name, response.connectedAt, attempt.sentAt);
    const auto crashes = m_evidence.crashesOf(attempt.content, now);
    const bool isCleared = m_evidence.recordServed(attempt.content, entry.service, now);
    if (isCleared && (!attempt.isSearch || crashes >= minSearchCrashesToAnnounce))
        actions.emplace_back(AnnounceContentCrash { { attempt.content, 0, {}, {} } });
    auto* request = find(attempt.request);
    if (!request || !(attempt.isProbe || isCleared))
        return;
    request->hasPassedProbe = true;
    for (auto& leg : request->legs) {
        if (leg.stage == LegStage::Unsent)
            leg.hedgeAt = now;
    }
}

void ForwardEngine::onCrashAnnounced(const CrashNews& news, TimePoint now)
{
    m_evidence.recordCrashNews(news, now);
}

ContentStanding ForwardEngine::standingOf(const Request& request, TimePoint now) const
{
    return m_evidence.isEmpty() ? ContentStanding::Clear : m_evidence.standingOf(request.request.content, now);
}

bool ForwardEngine::mayRunContent(const Request& request, TimePoint now) const
{
    switch (standingOf(request, now)) {
    case ContentStanding::Clear:
        return true;
    case ContentStanding::Quarantined:
        return false;
    case ContentStanding::Suspect:
        break;
    }
    return request.hasPassedProbe || !hasAttemptInFlight(request);
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
