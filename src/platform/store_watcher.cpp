#include "platform/store_watcher.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace asio = boost::asio;

namespace {

/// After an error the first watch ends at once, so that the return of the store is noticed without a change.
constexpr Duration shortWait = std::chrono::milliseconds(1);
/// Changes that follow each other closely share one watch, as each call is counted.
constexpr Duration settleTime = std::chrono::milliseconds(250);
/// After an answer with more changes than these the store is asked at once, as it may hold more.
constexpr std::size_t fewChanges = 16;
/// An instance that should watch and fails tries again after so many times its patience, whatever it hears.
constexpr int failingTries = 4;
/// The store may end a watch sooner than one asks for; of such a short one it is known how long it waited.
constexpr Duration longestKnownWait = std::chrono::seconds(5);

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
    asio::post(m_strand, [self = shared_from_this()] { self->ask(); });
}

void StoreWatcher::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_isStopped = true;
        self->m_timer.cancel();
    });
}

void StoreWatcher::setTurn(const WatchTurn& turn)
{
    asio::post(m_strand, [self = shared_from_this(), turn] {
        const bool isSooner = turn.patience < self->m_turn.patience;
        self->m_turn = turn;
        if (isSooner && !self->m_isAsking)
            self->askAfter(Duration {});
    });
}

void StoreWatcher::offer(const WatchBatch& batch, std::uint64_t fromRevision, TimePoint provenAt)
{
    asio::post(m_strand, [self = shared_from_this(), batch, fromRevision, provenAt] { self->onOffer(batch, fromRevision, provenAt); });
}

void StoreWatcher::onOffer(const WatchBatch& batch, std::uint64_t fromRevision, TimePoint provenAt)
{
    if (m_isStopped || !m_isListed)
        return;
    if (fromRevision > m_revision) {
        if (!std::exchange(m_isBehind, true) && !m_isAsking)
            askAfter(m_turn.gapPause);
        return;
    }
    m_provenAt = std::max(m_provenAt, provenAt);
    auto seen = batch;
    if (batch.revision <= m_revision) {
        seen.changed.clear();
        seen.removed.clear();
    }
    m_revision = std::max(m_revision, batch.revision);
    m_handler(seen);
}

TimePoint StoreWatcher::askAt() const
{
    if (!m_isListed || m_isBehind)
        return {};
    const bool isFailing = m_backoff.failures() > 0;
    const auto patience = isFailing ? std::max(m_turn.patience, m_turn.failingPatience) : m_turn.patience;
    const auto heard = m_provenAt + patience;
    return m_turn.patience == Duration {} ? std::min(heard, m_askedAt + failingTries * patience) : heard;
}

void StoreWatcher::ask()
{
    if (m_isStopped || m_isAsking)
        return;
    const auto now = m_clock.now();
    if (const auto at = askAt(); at > now)
        return askAfter(at - now);
    auto onResponse = [self = shared_from_this()](const WatchBatch& batch) {
        asio::post(self->m_strand, [self, batch] { self->onBatch(batch); });
    };
    m_isAsking = true;
    m_askedAt = now;
    const bool wasBehind = std::exchange(m_isBehind, false);
    const bool isShort = wasBehind || m_backoff.failures() > 0 || m_turn.patience > Duration {};
    m_askedWait = isShort ? shortWait : m_turn.wait;
    if (m_isListed)
        m_store->watch(m_prefix, m_revision, m_askedWait, std::move(onResponse));
    else
        m_store->list(m_prefix, std::move(onResponse));
}

TimePoint StoreWatcher::provenByNothing(TimePoint now) const
{
    // A watch that waited to its end saw nothing until then.
    const auto waited = m_isListed && m_askedWait < longestKnownWait ? m_askedWait : Duration {};
    return std::min(now, m_askedAt + waited);
}

void StoreWatcher::onBatch(const WatchBatch& batch)
{
    m_isAsking = false;
    if (m_isStopped)
        return;
    if (batch.status == StoreStatus::HistoryGone) {
        m_isListed = false;
        ask();
        return;
    }
    if (batch.status != StoreStatus::Ok) {
        m_handler(batch);
        return askAfter(m_backoff.onFailure());
    }
    m_backoff.onSuccess();
    const auto changes = batch.changed.size() + batch.removed.size();
    const bool isFirst = !m_isListed;
    if (isFirst || changes == 0)
        m_provenAt = std::max(m_provenAt, provenByNothing(m_clock.now()));
    m_isListed = true;
    m_isBehind = m_isBehind || (!isFirst && changes > 0);
    const auto fromRevision = m_revision;
    // Another instance may have told more meanwhile.
    const bool isNews = isFirst || batch.revision >= m_revision;
    m_revision = std::max(m_revision, batch.revision);
    auto seen = batch;
    seen.isWhole = isFirst;
    if (!isNews) {
        seen.changed.clear();
        seen.removed.clear();
    }
    m_handler(seen);
    if (m_onSeen && !isFirst && isNews)
        m_onSeen(seen, fromRevision, m_provenAt);
    const bool mayBeCut = changes > fewChanges;
    if (changes > 0 && !isFirst && !mayBeCut)
        askAfter(settleTime);
    else
        ask();
}

void StoreWatcher::askAfter(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->ask();
    });
}

}
