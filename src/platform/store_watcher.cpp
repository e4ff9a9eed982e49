#include "platform/store_watcher.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheefield {

namespace asio = boost::asio;

StoreWatcher::StoreWatcher(const asio::any_io_executor& executor, std::shared_ptr<ObjectStore> store, std::string prefix, Handler handler, Backoff backoff)
    : m_strand(asio::make_strand(executor))
    , m_timer(m_strand)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_handler(std::move(handler))
    , m_engine(m_prefix, std::move(backoff))
{
}

void StoreWatcher::start()
{
    post([this](TimePoint now, WatchActions& actions) { m_engine.start(now, actions); });
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
    asio::post(m_strand, [self = shared_from_this(), handler = std::move(handler)] { handler(self->m_engine.state(), self->m_engine.provenAt()); });
}

void StoreWatcher::setSchedule(const WatchSchedule& schedule)
{
    post([this, schedule](TimePoint now, WatchActions& actions) { m_engine.setSchedule(schedule, now, actions); });
}

void StoreWatcher::onAnnouncement(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf)
{
    post([this, batch, from, currentAsOf](TimePoint now, WatchActions& actions) { m_engine.onAnnouncement(batch, from, currentAsOf, now, actions); });
}

void StoreWatcher::post(Event event)
{
    asio::post(m_strand, [self = shared_from_this(), event = std::move(event)] { self->run(event); });
}

void StoreWatcher::run(const Event& event)
{
    if (m_isStopped)
        return;
    WatchActions actions;
    const auto now = m_clock.now();
    event(now, actions);
    for (auto& it : actions)
        std::visit([this](auto& action) { execute(action); }, it);
    setTimer(now);
}

void StoreWatcher::execute(const ListObjects&)
{
    m_store->list(m_prefix, responseHandler());
}

void StoreWatcher::execute(const WatchObjects& watch)
{
    m_store->watch(m_prefix, watch.after.number, watch.wait, responseHandler());
}

void StoreWatcher::execute(const DeliverBatch& delivery)
{
    m_handler(delivery.batch);
}

void StoreWatcher::execute(const AnnounceBatch& announcement)
{
    if (m_announceHandler)
        m_announceHandler(announcement.batch, announcement.from, announcement.currentAsOf);
}

void StoreWatcher::execute(const LogWatchChange& change)
{
    logChange(change.level, change.event, change.fields);
}

ObjectStore::ListHandler StoreWatcher::responseHandler()
{
    return [self = shared_from_this()](const WatchBatch& response) {
        self->post([self, response](TimePoint now, WatchActions& actions) { self->m_engine.onResponse(response, now, actions); });
    };
}

void StoreWatcher::setTimer(TimePoint now)
{
    const auto at = m_engine.nextWake();
    if (at == m_timerAt)
        return;
    m_timerAt = at;
    if (at == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(at - now, Duration {}));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec)
            return;
        self->m_timerAt = never;
        self->run([&](TimePoint now, WatchActions& actions) { self->m_engine.onTimer(now, actions); });
    });
}

}
