#include "platform/store_watcher.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace lycheefield {

namespace asio = boost::asio;

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

StoreWatcher::StoreWatcher(const asio::any_io_executor& executor, std::shared_ptr<ObjectStore> store, std::string prefix, Handler handler, Backoff backoff)
    : m_strand(asio::make_strand(executor))
    , m_timer(m_strand)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_handler(std::move(handler))
    , m_backoff(std::move(backoff))
{
}

void StoreWatcher::start()
{
    asio::post(m_strand, [self = shared_from_this()] { self->callStore(); });
}

void StoreWatcher::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_isStopped = true;
        self->m_timer.cancel();
    });
}

void StoreWatcher::state(StateHandler handler)
{
    asio::post(m_strand, [self = shared_from_this(), handler = std::move(handler)] {
        WatchBatch known;
        known.status = StoreStatus::Ok;
        if (self->m_isListed) {
            known.revision = self->m_revision;
            known.epoch = self->m_epoch;
            known.confirmedAt = self->m_confirmedAt;
            for (const auto& [key, object] : self->m_objects)
                known.changed.push_back(object);
        }
        handler(known, self->m_provenAt);
    });
}

void StoreWatcher::setSchedule(const WatchSchedule& turn)
{
    asio::post(m_strand, [self = shared_from_this(), turn] {
        const bool isSooner = turn.maxSilence < self->m_schedule.maxSilence;
        self->m_schedule = turn;
        if (isSooner && !self->m_isCallInFlight)
            self->scheduleCall(Duration {});
    });
}

void StoreWatcher::onAnnouncement(const WatchBatch& batch, std::uint64_t fromRevision, TimePoint currentAsOf)
{
    asio::post(m_strand, [self = shared_from_this(), batch, fromRevision, currentAsOf] { self->applyAnnouncement(batch, fromRevision, currentAsOf); });
}

void StoreWatcher::applyAnnouncement(const WatchBatch& batch, std::uint64_t fromRevision, TimePoint currentAsOf)
{
    const bool isList = fromRevision == 0 && batch.revision > 0;
    // An instance that could not reach the store for long may still list servers that left.
    const bool isOutdated = isList && m_clock.now() - currentAsOf > m_schedule.maxUnproven;
    if (m_isStopped || isOutdated || (!m_isListed && !isList))
        return;
    if (fromRevision > m_revision) {
        const bool wasBehind = m_isBehind;
        markBehind();
        if (!wasBehind && !m_isCallInFlight)
            scheduleCall(m_schedule.gapPause);
        return;
    }
    m_provenAt = std::max(m_provenAt, currentAsOf);
    m_confirmedAt = std::max(m_confirmedAt, batch.confirmedAt);
    if (!isList)
        m_announcedAt = m_clock.now();
    m_isBehind = m_isBehind && m_provenAt <= m_behindSince;
    const bool isNewer = batch.revision > m_revision;
    m_isListed = true;
    auto news = batch;
    news.isFullList = isList && isNewer;
    deliver(std::move(news), isNewer);
}

void StoreWatcher::markBehind()
{
    if (!std::exchange(m_isBehind, true))
        m_behindSince = m_clock.now();
}

void StoreWatcher::deliver(WatchBatch batch, bool isNewer)
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
    if (m_epoch == 0)
        m_epoch = batch.epoch;
    batch.confirmedAt = m_confirmedAt;
    batch.provenAt = m_provenAt;
    m_handler(batch);
}

WatchBatch StoreWatcher::changesSinceKnown(const WatchBatch& list) const
{
    WatchBatch changes;
    changes.status = StoreStatus::Ok;
    changes.revision = list.revision;
    changes.epoch = list.epoch;
    std::set<std::string> listed;
    for (const auto& it : list.changed) {
        listed.insert(it.key);
        if (it.version.value > m_revision)
            changes.changed.push_back(it);
    }
    for (const auto& [key, object] : m_objects) {
        if (!listed.contains(key))
            changes.removed.push_back(key);
    }
    return changes;
}

TimePoint StoreWatcher::nextCallAt() const
{
    if (!m_isListed || m_isBehind)
        return {};
    const bool isFailing = m_backoff.failures() > toleratedFailures;
    const auto maxSilence = isFailing ? std::max(m_schedule.maxSilence, m_schedule.maxSilenceAfterFailure) : m_schedule.maxSilence;
    // While changes keep coming, no response proves that there are no more, but a further call would not read them sooner
    // than the instance that announces them.
    const auto announced = std::min(m_announcedAt + std::min(m_schedule.wait, maxSilence), m_provenAt + m_schedule.maxUnproven);
    const auto heard = std::max(m_provenAt + maxSilence, announced);
    if (m_schedule.maxSilence == Duration {})
        return std::min(heard, m_calledAt + retrySilenceFactor * maxSilence);
    // Announcements that piled up during a pause of this process look younger than they are.
    const bool needsProof = m_schedule.maxUnconfirmed > Duration {};
    return needsProof ? std::min(heard, std::max(m_confirmedAt + m_schedule.maxUnconfirmed, m_calledAt + m_schedule.wait)) : heard;
}

void StoreWatcher::callStore()
{
    if (m_isStopped || m_isCallInFlight)
        return;
    const auto now = m_clock.now();
    if (const auto at = nextCallAt(); at > now)
        return scheduleCall(at - now);
    auto onResponse = [self = shared_from_this()](const WatchBatch& batch) {
        asio::post(self->m_strand, [self, batch] { self->onBatch(batch); });
    };
    m_isCallInFlight = true;
    m_calledAt = now;
    m_calledRevision = m_revision;
    const bool wasBehind = std::exchange(m_isBehind, false);
    const bool isShort = wasBehind || m_backoff.failures() > 0 || m_schedule.maxSilence > Duration {};
    m_requestedWait = isShort ? minWait : m_schedule.wait;
    m_isListCall = !m_isListed;
    if (m_isListed)
        m_store->watch(m_prefix, m_revision, m_requestedWait, std::move(onResponse));
    else
        m_store->list(m_prefix, std::move(onResponse));
}

TimePoint StoreWatcher::provenByNoChange(TimePoint now) const
{
    // A watch that ran to its end without changes proves that there were none until then.
    const auto waited = m_isListed && m_requestedWait < maxHonouredWait ? m_requestedWait : Duration {};
    return std::min(now, m_calledAt + waited);
}

void StoreWatcher::confirm(const WatchBatch& response)
{
    if (response.revision >= m_calledRevision)
        m_confirmedAt = std::max(m_confirmedAt, m_calledAt);
}

void StoreWatcher::onBatch(const WatchBatch& batch)
{
    m_isCallInFlight = false;
    if (m_isStopped)
        return;
    if (batch.status == StoreStatus::HistoryExpired) {
        logRegression(batch);
        m_isListed = false;
        callStore();
        return;
    }
    if (batch.status != StoreStatus::Ok)
        return onFailedCall(batch);
    m_backoff.onSuccess();
    logRegression(batch);
    if (m_isListCall)
        onList(batch);
    else
        onChanges(batch);
}

void StoreWatcher::logRegression(const WatchBatch& batch)
{
    const bool isOfOtherEpoch = m_epoch > 0 && batch.epoch != m_epoch;
    const bool isLower = batch.status == StoreStatus::Ok && batch.revision < m_calledRevision;
    if (!isOfOtherEpoch && !isLower) {
        m_isRegressionLogged = m_isRegressionLogged && batch.status != StoreStatus::Ok;
        return;
    }
    if (std::exchange(m_isRegressionLogged, true))
        return;
    logChange(LogLevel::Warning, "store responded from another epoch or with a lower revision than known",
        { { "objects", m_prefix }, { "known_epoch", std::to_string(m_epoch) }, { "epoch", std::to_string(batch.epoch) }, { "known_revision", std::to_string(m_calledRevision) }, { "revision", std::to_string(batch.revision) } });
}

void StoreWatcher::onFailedCall(const WatchBatch& batch)
{
    m_handler(batch);
    scheduleCall(std::max(m_backoff.onFailure(), m_schedule.retryPause));
}

void StoreWatcher::onList(const WatchBatch& batch)
{
    const auto fromRevision = m_revision;
    auto changes = changesSinceKnown(batch);
    m_provenAt = std::max(m_provenAt, provenByNoChange(m_clock.now()));
    confirm(batch);
    changes.confirmedAt = m_confirmedAt;
    m_isListed = true;
    const bool isNewer = batch.revision >= fromRevision;
    auto list = batch;
    list.isFullList = isNewer;
    deliver(std::move(list), isNewer);
    if (m_announceHandler && fromRevision > 0 && isNewer)
        m_announceHandler(changes, fromRevision, m_provenAt);
    callStore();
}

void StoreWatcher::onChanges(const WatchBatch& batch)
{
    const auto changes = batch.changed.size() + batch.removed.size();
    if (changes == 0) {
        m_provenAt = std::max(m_provenAt, provenByNoChange(m_clock.now()));
        confirm(batch);
    }
    if (changes > 0)
        markBehind();
    const auto fromRevision = m_revision;
    // Another instance may have announced a later revision while the call was in flight.
    const bool isNewer = batch.revision >= m_revision;
    deliver(batch, isNewer);
    if (m_announceHandler && isNewer) {
        auto announced = batch;
        announced.confirmedAt = m_confirmedAt;
        m_announceHandler(announced, fromRevision, m_provenAt);
    }
    const bool mayBeTruncated = changes > truncationThreshold;
    if (changes == 0 || mayBeTruncated)
        return callStore();
    // The instance that watches all the time may announce the proof meanwhile.
    const bool isWatching = m_schedule.maxSilence == Duration {};
    scheduleCall(isWatching ? coalescingTime : std::max(coalescingTime, std::min(m_schedule.wait, m_schedule.maxSilence / 2)));
}

void StoreWatcher::scheduleCall(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->callStore();
    });
}

}
