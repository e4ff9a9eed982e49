#include "platform/store_watcher.h"

#include <boost/asio/post.hpp>

#include <algorithm>
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
    if (m_isStopped || !m_isListed)
        return;
    if (fromRevision > m_revision) {
        if (!std::exchange(m_isBehind, true) && !m_isCallInFlight)
            scheduleCall(m_schedule.gapPause);
        return;
    }
    m_provenAt = std::max(m_provenAt, currentAsOf);
    auto seen = batch;
    if (batch.revision <= m_revision) {
        seen.changed.clear();
        seen.removed.clear();
    }
    m_revision = std::max(m_revision, batch.revision);
    m_handler(seen);
}

TimePoint StoreWatcher::nextCallAt() const
{
    if (!m_isListed || m_isBehind)
        return {};
    const bool isFailing = m_backoff.failures() > 0;
    const auto maxSilence = isFailing ? std::max(m_schedule.maxSilence, m_schedule.maxSilenceAfterFailure) : m_schedule.maxSilence;
    const auto heard = m_provenAt + maxSilence;
    return m_schedule.maxSilence == Duration {} ? std::min(heard, m_calledAt + retrySilenceFactor * maxSilence) : heard;
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
    const bool wasBehind = std::exchange(m_isBehind, false);
    const bool isShort = wasBehind || m_backoff.failures() > 0 || m_schedule.maxSilence > Duration {};
    m_requestedWait = isShort ? minWait : m_schedule.wait;
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

void StoreWatcher::onBatch(const WatchBatch& batch)
{
    m_isCallInFlight = false;
    if (m_isStopped)
        return;
    if (batch.status == StoreStatus::HistoryExpired) {
        m_isListed = false;
        callStore();
        return;
    }
    if (batch.status != StoreStatus::Ok) {
        m_handler(batch);
        return scheduleCall(m_backoff.onFailure());
    }
    m_backoff.onSuccess();
    const auto changes = batch.changed.size() + batch.removed.size();
    const bool isFirst = !m_isListed;
    if (isFirst || changes == 0)
        m_provenAt = std::max(m_provenAt, provenByNoChange(m_clock.now()));
    m_isListed = true;
    m_isBehind = m_isBehind || (!isFirst && changes > 0);
    const auto fromRevision = m_revision;
    // Another instance may have announced a later revision while the call was in flight.
    const bool isNew = isFirst || batch.revision >= m_revision;
    m_revision = std::max(m_revision, batch.revision);
    auto seen = batch;
    seen.isFullList = isFirst;
    if (!isNew) {
        seen.changed.clear();
        seen.removed.clear();
    }
    m_handler(seen);
    if (m_announceHandler && !isFirst && isNew)
        m_announceHandler(seen, fromRevision, m_provenAt);
    const bool mayBeTruncated = changes > truncationThreshold;
    if (changes > 0 && !isFirst && !mayBeTruncated)
        scheduleCall(coalescingTime);
    else
        callStore();
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
