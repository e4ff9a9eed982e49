#include "platform/watch_engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheefield {

namespace {

/// After an error the first watch ends at once, so that a reachable store is noticed without waiting for a change.
constexpr Duration minWait = std::chrono::milliseconds(1);
/// Pause after a watch with changes, so that changes in quick succession share one watch: each call is counted.
constexpr Duration coalescingTime = std::chrono::milliseconds(250);
/// A response with more changes than this may be truncated, so the store is called again at once.
constexpr std::size_t truncationThreshold = 16;
/// After more failures in a row than this the calls pause and the announcements of others are awaited. One lost packet fails one call.
constexpr std::uint32_t toleratedFailures = 1;
/// An instance that should watch all the time but whose calls fail retries after this multiple of the silence
/// that it tolerates, whatever others announce.
constexpr int retrySilenceFactor = 4;
/// The store honours a requested wait below this limit; a longer watch may end before its wait is over.
constexpr Duration maxHonouredWait = std::chrono::seconds(5);

}

WatchEngine::WatchEngine(std::string prefix, Backoff backoff)
    : m_prefix(std::move(prefix))
    , m_backoff(std::move(backoff))
{
}

void WatchEngine::start(TimePoint now, WatchActions& actions)
{
    m_isStarted = true;
    callIfDue(now, actions);
}

void WatchEngine::setSchedule(const WatchSchedule& schedule, TimePoint now, WatchActions& actions)
{
    const bool isSooner = schedule.maxSilence < m_schedule.maxSilence;
    m_schedule = schedule;
    if (!isSooner)
        return;
    m_isStarted = true;
    m_notBefore = {};
    callIfDue(now, actions);
}

void WatchEngine::onTimer(TimePoint now, WatchActions& actions)
{
    callIfDue(now, actions);
}

TimePoint WatchEngine::nextWake() const
{
    return m_isStarted && !m_call.isInFlight ? std::max(scheduledCallAt(), m_notBefore) : never;
}

WatchBatch WatchEngine::state() const
{
    WatchBatch known;
    known.status = StoreStatus::Ok;
    if (!m_isListed)
        return known;
    known.revision = m_revision;
    known.confirmedAt = m_confirmedAt;
    for (const auto& [key, object] : m_objects)
        known.changed.push_back(object);
    return known;
}

TimePoint WatchEngine::scheduledCallAt() const
{
    if (!m_isListed)
        return {};
    if (m_isBehind)
        return m_missingDueAt;
    const bool isFailing = m_backoff.failures() > toleratedFailures;
    const auto maxSilence = isFailing ? std::max(m_schedule.maxSilence, m_schedule.maxSilenceAfterFailure) : m_schedule.maxSilence;
    // While changes keep coming, no response proves that there are no more, but a further call would not read them sooner
    // than the instance that announces them.
    const auto announced = std::min(m_announcedAt + std::min(m_schedule.wait, maxSilence), m_provenAt + m_schedule.maxUnproven);
    const auto heard = std::max(m_provenAt + maxSilence, announced);
    if (m_schedule.maxSilence == Duration {})
        return std::min(heard, m_call.at + retrySilenceFactor * maxSilence);
    // Announcements that piled up during a pause of this process look younger than they are.
    const bool needsProof = m_schedule.maxUnconfirmed > Duration {};
    return needsProof ? std::min(heard, std::max(m_confirmedAt + m_schedule.maxUnconfirmed, m_call.at + m_schedule.wait)) : heard;
}

void WatchEngine::callIfDue(TimePoint now, WatchActions& actions)
{
    if (nextWake() > now)
        return;
    const bool wasBehind = std::exchange(m_isBehind, false);
    const bool isShort = wasBehind || m_backoff.failures() > 0 || m_schedule.maxSilence > Duration {};
    m_call = { true, !m_isListed, now, m_revision, isShort ? minWait : m_schedule.wait };
    if (m_call.isList)
        actions.emplace_back(ListObjects {});
    else
        actions.emplace_back(WatchObjects { m_revision, m_call.wait });
}

void WatchEngine::onResponse(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    m_call.isInFlight = false;
    if (response.status == StoreStatus::HistoryExpired) {
        logRegression(response, actions);
        m_isListed = false;
        return callIfDue(now, actions);
    }
    if (response.status != StoreStatus::Ok)
        return onFailedCall(response, now, actions);
    m_backoff.onSuccess();
    logRegression(response, actions);
    if (m_call.isList)
        onList(response, now, actions);
    else
        onChanges(response, now, actions);
    callIfDue(now, actions);
}

void WatchEngine::onFailedCall(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    actions.emplace_back(DeliverBatch { response });
    m_notBefore = now + std::max(m_backoff.onFailure(), m_schedule.retryPause);
}

void WatchEngine::onList(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    const auto from = m_revision;
    auto changes = changesTo(response);
    m_provenAt = std::max(m_provenAt, provenByNoChange(now));
    if (response.revision >= m_call.known)
        m_confirmedAt = std::max(m_confirmedAt, m_call.at);
    changes.confirmedAt = m_confirmedAt;
    m_isListed = true;
    const bool isNewer = response.revision >= from;
    auto list = response;
    list.isFullList = isNewer;
    deliver(std::move(list), isNewer, actions);
    if (from.number > 0 && isNewer)
        actions.emplace_back(AnnounceBatch { changes, from, m_provenAt });
}

void WatchEngine::onChanges(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    const auto changes = response.changed.size() + response.removed.size();
    if (changes == 0) {
        m_provenAt = std::max(m_provenAt, provenByNoChange(now));
        if (response.revision >= m_call.known)
            m_confirmedAt = std::max(m_confirmedAt, m_call.at);
    }
    const auto from = m_revision;
    // Another instance may have announced a later revision while the call was in flight.
    const bool isNewer = response.revision >= m_revision;
    deliver(response, isNewer, actions);
    if (isNewer) {
        auto announced = response;
        announced.confirmedAt = m_confirmedAt;
        actions.emplace_back(AnnounceBatch { announced, from, m_provenAt });
    }
    if (changes == 0)
        return;
    // The instance that watches all the time may announce the proof meanwhile.
    const bool isWatching = m_schedule.maxSilence == Duration {};
    const bool mayBeTruncated = changes > truncationThreshold;
    const auto pause = isWatching ? coalescingTime : std::max(coalescingTime, std::min(m_schedule.wait, m_schedule.maxSilence / 2));
    markBehind({}, now);
    m_notBefore = mayBeTruncated ? now : now + pause;
}

void WatchEngine::onAnnouncement(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions& actions)
{
    const bool isList = from.number == 0 && batch.revision.number > 0;
    // An instance that could not reach the store for long may still list servers that left.
    const bool isOutdated = isList && now - currentAsOf > m_schedule.maxUnproven;
    if (isOutdated || (!m_isListed && !isList))
        return;
    if (from > m_revision) {
        markBehind(now + m_schedule.gapPause, now);
        return callIfDue(now, actions);
    }
    m_provenAt = std::max(m_provenAt, currentAsOf);
    m_confirmedAt = std::max(m_confirmedAt, batch.confirmedAt);
    if (!isList)
        m_announcedAt = now;
    m_isBehind = m_isBehind && m_provenAt <= m_behindSince;
    const bool isNewer = batch.revision > m_revision;
    m_isListed = true;
    auto news = batch;
    news.isFullList = isList && isNewer;
    deliver(std::move(news), isNewer, actions);
}

void WatchEngine::markBehind(TimePoint callAt, TimePoint now)
{
    if (std::exchange(m_isBehind, true))
        return;
    m_behindSince = now;
    m_missingDueAt = callAt;
}

void WatchEngine::deliver(WatchBatch batch, bool isNewer, WatchActions& actions)
{
    if (!isNewer) {
        batch.changed.clear();
        batch.removed.clear();
    }
    if (batch.isFullList)
        m_objects.clear();
    for (const auto& it : batch.changed)
        m_objects.insert_or_assign(it.key, it);
    for (const auto& it : batch.removed)
        m_objects.erase(it);
    m_revision = std::max(m_revision, batch.revision);
    batch.confirmedAt = m_confirmedAt;
    actions.emplace_back(DeliverBatch { std::move(batch) });
}

WatchBatch WatchEngine::changesTo(const WatchBatch& list) const
{
    WatchBatch changes;
    changes.status = StoreStatus::Ok;
    changes.revision = list.revision;
    std::set<std::string> listed;
    for (const auto& it : list.changed) {
        listed.insert(it.key);
        if (it.version.value > m_revision.number)
            changes.changed.push_back(it);
    }
    for (const auto& [key, object] : m_objects) {
        if (!listed.contains(key))
            changes.removed.push_back(key);
    }
    return changes;
}

TimePoint WatchEngine::provenByNoChange(TimePoint now) const
{
    // A watch that ran to its end without changes proves that there were none until then.
    const bool hasWaited = !m_call.isList && m_call.wait < maxHonouredWait;
    return std::min(now, m_call.at + (hasWaited ? m_call.wait : Duration {}));
}

void WatchEngine::logRegression(const WatchBatch& response, WatchActions& actions)
{
    const auto& known = m_call.known;
    const bool isOfOtherEpoch = m_revision.epoch > 0 && response.revision.epoch != m_revision.epoch;
    const bool isLower = response.status == StoreStatus::Ok && response.revision.number < known.number;
    if (!isOfOtherEpoch && !isLower) {
        m_isRegressionLogged = m_isRegressionLogged && response.status != StoreStatus::Ok;
        return;
    }
    if (std::exchange(m_isRegressionLogged, true))
        return;
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "store responded from another epoch or with a lower revision than known",
        { { "objects", m_prefix }, { "known_epoch", std::to_string(m_revision.epoch) }, { "epoch", std::to_string(response.revision.epoch) }, { "known_revision", std::to_string(known.number) }, { "revision", std::to_string(response.revision.number) } } });
}

}
