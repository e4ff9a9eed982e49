#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "platform/backoff.h"
#include "platform/object_store.h"
#include "platform/watch_schedule.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Follows all objects below a prefix: lists them once, then watches from the revision of the list.
///
/// After an error the watcher continues from the same revision, so no change is skipped, however long the
/// outage was. When the store has dropped its history, the watcher lists again. Other instances that follow
/// the same prefix may announce the changes that they saw; the watcher then calls the store only after too
/// long a silence. A watcher keeps itself alive until stop(). Thread safe.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
    /// Runs on the executor, one call at a time: for each list, even an empty one, for the end of each watch,
    /// with or without changes, and for each error with its status.
    using Handler = std::function<void(const WatchBatch&)>;

    StoreWatcher(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, std::string prefix, Handler, Backoff);

    /// Runs after each successful call whose batch continues an earlier one: an instance that knew all changes
    /// up to fromRevision and applies the batch knows all changes that the store had at currentAsOf.
    using AnnounceHandler = std::function<void(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf)>;

    /// Precondition: start() has not been called.
    void setAnnounceHandler(AnnounceHandler handler) { m_announceHandler = std::move(handler); }
    /// Sets whether this watcher watches the store all the time, as it does at first, or calls the store only
    /// after a silence.
    void setSchedule(const WatchSchedule&);
    /// Applies changes that another instance announced. A batch that leaves a gap after the revision known here
    /// is dropped, and the watcher calls the store for the missing changes.
    void onAnnouncement(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf);

    void start();
    /// Stops the watcher. A handler call that is queued or in progress may still run.
    void stop();

private:
    void callStore();
    void scheduleCall(Duration);
    void onBatch(const WatchBatch&);
    void applyAnnouncement(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf);
    /// Returns when the store is to be called next; a time in the past means now.
    TimePoint nextCallAt() const;
    /// Returns the time up to which a response without changes proves that no change was missed.
    TimePoint provenByNoChange(TimePoint now) const;

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ObjectStore> m_store;
    std::string m_prefix;
    Handler m_handler;
    Backoff m_backoff;
    bool m_isListed = false;
    bool m_isStopped = false;
    std::uint64_t m_revision = 0;
    AnnounceHandler m_announceHandler;
    WatchSchedule m_schedule;
    TimePoint m_calledAt {};
    TimePoint m_provenAt {};
    Duration m_requestedWait {}; ///< Of the watch in flight.
    bool m_isCallInFlight = false;
    bool m_isBehind = false; ///< The store may hold changes not seen yet: a response need not hold all of them, or an announcement was missed.
    BootClock m_clock; ///< Counts time during a suspension, so announcements from before it go stale.
};

}
