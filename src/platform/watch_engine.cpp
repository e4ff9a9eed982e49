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
/// An instance that should watch all the time but whose calls fail retries after this multiple of the silence
/// that it tolerates, whatever others announce.
constexpr int retrySilenceFactor = 4;
/// The store honours a requested wait below this limit; a longer watch may end before its wait is over.
constexpr Duration maxHonouredWait = std::chrono::seconds(5);
/// The store counts its epochs one by one. One that is further ahead, or as large as this, was not read correctly; taken
/// for true it would make all later responses look old.
constexpr std::uint64_t maxEpochStep = 1'000'000;
constexpr std::uint64_t maxEpoch = std::uint64_t(1) << 53U;

WatchBatch batchWithoutChanges(const WatchBatch& batch)
{
    auto reduced = batch;
    reduced.changed.clear();
    reduced.removed.clear();
    return reduced;
}

}

WatchEngine::WatchEngine(std::string prefix, Backoff backoff)
    : m_prefix(std::move(prefix))
    , m_retry(std::move(backoff))
    , m_failureLog(m_prefix)
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
    if (!m_isListed || m_mustList || !isExact())
        return known;
    known.revision = m_revision;
    known.confirmedAt = m_confirmedAt;
    known.changed = objects();
    return known;
}

std::vector<StoredObject> WatchEngine::objects() const
{
    std::vector<StoredObject> all;
    for (const auto& [key, object] : m_objects)
        all.push_back(object);
    return all;
}

TimePoint WatchEngine::silenceEndsAt() const
{
    const auto maxSilence = m_retry.isFailing() ? std::max(m_schedule.maxSilence, m_schedule.maxSilenceAfterFailure) : m_schedule.maxSilence;
    // While changes keep coming, no response proves that there are no more, but a further call would not read them sooner
    // than the instance that announces them.
    const auto announced = std::min(m_announcedAt + std::min(m_schedule.wait, maxSilence), m_provenAt + m_schedule.maxUnproven);
    const auto heard = std::max(m_provenAt + maxSilence, announced);
    if (m_schedule.maxSilence == Duration {})
        return std::min(heard, m_call.at + retrySilenceFactor * maxSilence);
    const bool needsProof = m_schedule.maxUnconfirmed > Duration {};
    return needsProof ? std::min(heard, std::max(m_confirmedAt + m_schedule.maxUnconfirmed, m_call.at + m_schedule.wait)) : heard;
}

TimePoint WatchEngine::scheduledCallAt() const
{
    if (!m_isListed || m_mustList)
        return {};
    return m_isBehind ? std::min(silenceEndsAt(), m_missingDueAt) : silenceEndsAt();
}

void WatchEngine::callIfDue(TimePoint now, WatchActions& actions)
{
    if (nextWake() > now)
        return;
    const bool wasBehind = std::exchange(m_isBehind, false);
    const bool isShort = wasBehind || m_retry.hasFailed() || m_schedule.maxSilence > Duration {};
    m_call = { true, !m_isListed || m_mustList, wasBehind, now, m_revision, isShort ? minWait : m_schedule.wait, m_latestEpoch, m_call.at };
    if (m_call.isList)
        actions.emplace_back(ListObjects {});
    else
        actions.emplace_back(WatchObjects { m_revision, m_call.wait });
}

void WatchEngine::onResponse(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    m_call.isInFlight = false;
    const bool isExpired = response.status == StoreStatus::HistoryExpired;
    if (isExpired || response.status == StoreStatus::Ok) {
        logRegression(response, actions);
        reviewEpoch(response, now, actions);
    }
    if (isExpired) {
        onExpiredHistory(response, now);
    } else if (!isUsable(response)) {
        // A response that can't be used for its revision has a line of its own.
        if (response.status != StoreStatus::Ok)
            m_failureLog.onFailure(response.why, m_call.at, now, actions);
        onFailedCall(response, now, actions);
    } else {
        m_failureLog.onSuccess(now, actions);
        if (m_call.isList)
            onList(response, now, actions);
        else
            onChanges(response, now, actions);
    }
    callIfDue(now, actions);
}

void WatchEngine::reviewEpoch(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    const auto epoch = response.revision.epoch;
    if (isCurrentOrLater(epoch))
        return m_otherEpoch.clear();
    if (epoch >= maxEpoch || m_call.latestEpoch != m_latestEpoch || !m_otherEpoch.record(epoch, now))
        return;
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "store keeps naming another epoch than the latest one known; it is believed from now on",
        { { "objects", m_prefix }, { "known_epoch", std::to_string(m_latestEpoch) }, { "epoch", std::to_string(epoch) } } });
    m_latestEpoch = epoch;
    m_mustList = true;
    forgetProofs();
}

bool WatchEngine::isLowerThanAtCall(const StoreRevision& revision) const
{
    return revision.epoch == m_call.known.epoch && revision.number < m_call.known.number;
}

bool WatchEngine::isCurrentOrLater(std::uint64_t epoch) const
{
    const bool isPlausible = epoch < maxEpoch && (m_latestEpoch == 0 || epoch <= m_latestEpoch + maxEpochStep);
    return epoch >= m_latestEpoch && isPlausible;
}

bool WatchEngine::isUsable(const WatchBatch& response) const
{
    const auto& revision = response.revision;
    if (response.status != StoreStatus::Ok || !isCurrentOrLater(revision.epoch))
        return false;
    // Only a store that names no epochs goes back within one.
    return revision.epoch == 0 || !isLowerThanAtCall(revision);
}

void WatchEngine::onFailedCall(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    WatchBatch failed;
    failed.status = response.status == StoreStatus::Ok ? StoreStatus::Lost : response.status;
    actions.emplace_back(DeliverBatch { failed });
    m_notBefore = now + m_retry.onFailure(response, m_schedule.retryPause);
    const bool wasSent = response.cause == FailureCause::Store;
    if (!wasSent)
        m_call.at = m_call.previousAt;
    if (m_call.wasBehind && (!wasSent || !m_retry.isFailing()))
        markBehind(now, now);
}

void WatchEngine::onExpiredHistory(const WatchBatch& response, TimePoint now)
{
    const bool isKnown = isCurrentOrLater(response.revision.epoch);
    if (isKnown && response.revision.epoch > m_revision.epoch)
        distrustState(response.revision.epoch);
    m_mustList = true;
    // A store whose history goes again and again is not called without pauses.
    if (std::exchange(m_hasExpired, true) || !isKnown)
        m_notBefore = now + m_retry.onFailure(response, {});
}

void WatchEngine::onList(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    if (!m_hasExpired)
        m_retry.onSuccess();
    const bool isOtherEpoch = response.revision.epoch != m_revision.epoch || isLowerThanAtCall(response.revision);
    if (!isOtherEpoch && response.revision < m_revision) {
        // Another instance has announced a later revision while the call was in flight.
        m_mustList = false;
        return deliver(batchWithoutChanges(response), actions);
    }
    const auto from = m_revision;
    const bool canAnnounce = from.number > 0 && isExact();
    auto changes = changesTo(response);
    adopt(response, isOtherEpoch, actions);
    m_provenAt = std::max(m_provenAt, provenByNoChange(now));
    m_confirmedAt = std::max(m_confirmedAt, m_call.at);
    changes.confirmedAt = m_confirmedAt;
    auto list = response;
    list.isFullList = true;
    list.isNewEpoch = isOtherEpoch && from.number > 0;
    deliver(std::move(list), actions);
    if (canAnnounce)
        actions.emplace_back(AnnounceBatch { std::move(changes), from, m_provenAt });
}

void WatchEngine::onChanges(const WatchBatch& response, TimePoint now, WatchActions& actions)
{
    m_retry.onSuccess();
    if (response.revision.epoch != m_revision.epoch || isLowerThanAtCall(response.revision))
        return distrustState(response.revision.epoch);
    m_hasExpired = false;
    const auto count = response.changed.size() + response.removed.size();
    // Another instance may have announced a later revision while the call was in flight, or the state of another epoch.
    const bool isNewer = m_call.known.epoch == m_revision.epoch && m_call.known <= m_revision && response.revision >= m_revision;
    if (isNewer && count == 0) {
        m_provenAt = std::max(m_provenAt, provenByNoChange(now));
        m_confirmedAt = std::max(m_confirmedAt, m_call.at);
    }
    if (!isNewer)
        return deliver(batchWithoutChanges(response), actions);
    const auto from = m_revision;
    apply(response);
    deliver(response, actions);
    auto announced = response;
    announced.confirmedAt = m_confirmedAt;
    actions.emplace_back(AnnounceBatch { std::move(announced), from, m_provenAt });
    if (count > 0)
        readFurther(count, now);
}

void WatchEngine::readFurther(std::size_t changes, TimePoint now)
{
    markBehind(now, now);
    if (changes > truncationThreshold)
        return;
    // The instance that watches all the time may announce the proof meanwhile.
    const bool isWatching = m_schedule.maxSilence == Duration {};
    m_notBefore = now + (isWatching ? coalescingTime : std::max(coalescingTime, std::min(m_schedule.wait, m_schedule.maxSilence / 2)));
}

void WatchEngine::onAnnouncement(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions& actions)
{
    const bool isBack = batch.revision < from;
    const bool isMalformed = batch.revision.number == 0 || (isBack && from.epoch > 0);
    if (isMalformed || !isCurrentOrLater(batch.revision.epoch))
        return;
    if (from.number == 0)
        applyState(batch, currentAsOf, now, actions);
    else if (!m_isListed)
        m_latestEpoch = batch.revision.epoch;
    else if (batch.revision.epoch > m_revision.epoch || isBack)
        crossEpoch(batch, from, currentAsOf, now, actions);
    else
        applyDifference(batch, from, currentAsOf, now, actions);
    callIfDue(now, actions);
}

void WatchEngine::applyState(const WatchBatch& batch, TimePoint currentAsOf, TimePoint now, WatchActions& actions)
{
    const bool isOtherEpoch = batch.revision.epoch > m_revision.epoch;
    // An instance that could not reach the store for long may still list servers that left.
    if (currentAsOf == TimePoint {} || now - currentAsOf > m_schedule.maxUnproven) {
        if (m_isListed && isOtherEpoch)
            distrustAfterGap(batch.revision.epoch, now);
        return;
    }
    if (batch.revision <= m_revision) {
        takeProof(batch, currentAsOf);
        return deliver(batchWithoutChanges(batch), actions);
    }
    const bool wasListed = m_isListed;
    adopt(batch, isOtherEpoch, actions);
    takeProof(batch, currentAsOf);
    auto list = batch;
    list.isFullList = true;
    list.isNewEpoch = wasListed && isOtherEpoch;
    deliver(std::move(list), actions);
}

void WatchEngine::crossEpoch(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions& actions)
{
    // The state at one revision is the same everywhere. At any other one, changes that the store has lost would stay.
    if (from != m_revision || !isExact()) {
        const bool wentBackToo = batch.revision.epoch == m_revision.epoch && batch.revision >= m_revision;
        return wentBackToo ? markBehind(now + m_schedule.gapPause, now) : distrustAfterGap(batch.revision.epoch, now);
    }
    logNewEpoch(batch, actions);
    forgetProofs();
    apply(batch);
    m_mixedUpTo = 0;
    m_mustList = false;
    takeProof(batch, currentAsOf);
    auto list = batch;
    list.changed = objects();
    list.removed.clear();
    list.isFullList = true;
    list.isNewEpoch = true;
    deliver(std::move(list), actions);
}

void WatchEngine::applyDifference(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions& actions)
{
    const bool isNewer = batch.revision > m_revision;
    // Neither a difference from an earlier epoch nor one of two lists names all that differs from another state than that at `from`.
    const bool holdsOnlyThere = batch.isComparison || from.epoch < m_revision.epoch;
    const bool isThere = from == m_revision && isExact();
    if (from > m_revision || (isNewer && holdsOnlyThere && !isThere))
        return markBehind(now + m_schedule.gapPause, now);
    takeProof(batch, currentAsOf);
    m_isBehind = m_isBehind && m_provenAt <= m_behindSince;
    if (!isNewer)
        return deliver(batchWithoutChanges(batch), actions);
    m_announcedAt = now;
    apply(batch);
    deliver(batch, actions);
}

void WatchEngine::takeProof(const WatchBatch& batch, TimePoint currentAsOf)
{
    // What is older than the known state proves nothing: a store that names no epochs may have gone back.
    if (batch.revision < m_revision || currentAsOf == TimePoint {})
        return;
    m_provenAt = std::max(m_provenAt, currentAsOf);
    m_confirmedAt = std::max(m_confirmedAt, batch.confirmedAt);
}

void WatchEngine::markBehind(TimePoint callAt, TimePoint now)
{
    if (!std::exchange(m_isBehind, true)) {
        m_behindSince = now;
        m_missingDueAt = callAt;
    }
    m_missingDueAt = std::min(m_missingDueAt, callAt);
}

void WatchEngine::forgetProofs()
{
    m_provenAt = {};
    m_confirmedAt = {};
    m_announcedAt = {};
}

void WatchEngine::distrustState(std::uint64_t latestEpoch)
{
    m_latestEpoch = std::max(m_latestEpoch, latestEpoch);
    m_mustList = true;
    forgetProofs();
}

void WatchEngine::distrustAfterGap(std::uint64_t latestEpoch, TimePoint now)
{
    // No later than the call that was due anyway.
    const auto callAt = std::min(now + m_schedule.gapPause, std::max(now, scheduledCallAt()));
    distrustState(latestEpoch);
    m_notBefore = std::max(m_notBefore, callAt);
}

void WatchEngine::adopt(const WatchBatch& list, bool isOtherEpoch, WatchActions& actions)
{
    if (isOtherEpoch && m_isListed)
        logNewEpoch(list, actions);
    if (isOtherEpoch)
        forgetProofs();
    m_objects.clear();
    m_mixedUpTo = list.mixedUpTo;
    m_isListed = true;
    m_mustList = false;
    apply(list);
}

void WatchEngine::apply(const WatchBatch& batch)
{
    for (const auto& it : batch.changed)
        m_objects.insert_or_assign(it.key, it);
    for (const auto& it : batch.removed)
        m_objects.erase(it);
    m_revision = batch.revision;
    m_latestEpoch = std::max(m_latestEpoch, m_revision.epoch);
}

void WatchEngine::deliver(WatchBatch batch, WatchActions& actions) const
{
    batch.provenAt = m_provenAt;
    batch.confirmedAt = m_confirmedAt;
    actions.emplace_back(DeliverBatch { std::move(batch) });
}

WatchBatch WatchEngine::changesTo(const WatchBatch& list) const
{
    WatchBatch changes;
    changes.status = StoreStatus::Ok;
    changes.revision = list.revision;
    changes.isComparison = true;
    std::set<std::string> listed;
    for (const auto& it : list.changed) {
        listed.insert(it.key);
        const auto known = m_objects.find(it.key);
        if (known == m_objects.end() || known->second != it)
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
    const auto& revision = response.revision;
    const bool isOk = response.status == StoreStatus::Ok;
    // The list of a later epoch has a line of its own.
    const bool isOfLaterEpoch = m_revision.epoch > 0 && revision.epoch > m_revision.epoch && !(isOk && m_call.isList);
    const bool isLower = isOk && isLowerThanAtCall(revision);
    if (isCurrentOrLater(revision.epoch) && !isOfLaterEpoch && !isLower) {
        m_isRegressionLogged = m_isRegressionLogged && !isOk;
        return;
    }
    if (std::exchange(m_isRegressionLogged, true))
        return;
    const auto& known = m_call.known;
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "store responded from another epoch or with a lower revision than known",
        { { "objects", m_prefix }, { "known_epoch", std::to_string(m_latestEpoch) }, { "epoch", std::to_string(revision.epoch) }, { "known_revision", std::to_string(known.number) }, { "revision", std::to_string(revision.number) } } });
}

void WatchEngine::logNewEpoch(const WatchBatch& batch, WatchActions& actions) const
{
    const auto from = batch.announcedBy.value().empty() ? std::string("store") : batch.announcedBy.value();
    actions.emplace_back(LogWatchChange { LogLevel::Warning, "state of another epoch of the store replaces the known one",
        { { "objects", m_prefix }, { "from", from }, { "known_epoch", std::to_string(m_revision.epoch) }, { "epoch", std::to_string(batch.revision.epoch) }, { "known_revision", std::to_string(m_revision.number) }, { "revision", std::to_string(batch.revision.number) } } });
}

}
