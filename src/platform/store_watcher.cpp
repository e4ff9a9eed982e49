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

void StoreWatcher::ask()
{
    if (m_isStopped)
        return;
    auto onReply = [self = shared_from_this()](const WatchBatch& batch) {
        asio::post(self->m_strand, [self, batch] { self->onBatch(batch); });
    };
    if (m_isListed)
        m_store->watch(m_prefix, m_revision, m_backoff.failures() > 0 ? shortWait : Duration::max(), std::move(onReply));
    else
        m_store->list(m_prefix, std::move(onReply));
}

void StoreWatcher::onBatch(const WatchBatch& batch)
{
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
    const bool isFirst = !std::exchange(m_isListed, true);
    m_revision = std::max(m_revision, batch.revision);
    auto seen = batch;
    seen.isWhole = isFirst;
    m_handler(seen);
    const bool hasChanges = !batch.changed.empty() || !batch.removed.empty();
    if (hasChanges && !isFirst)
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
