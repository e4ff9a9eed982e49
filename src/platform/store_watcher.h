#pragma once

#include "base/clock.h"
#include "platform/object_store.h"
#include "platform/watch_engine.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// Follows all objects below a prefix: lists them once, then watches from the revision of the list.
///
/// After an error the watcher continues from the same revision, so no change is skipped, however long the
/// outage was. When the store has dropped its history, or has come back from an older copy, the watcher lists again. Other instances that follow
/// the same prefix may announce the changes that they saw; by its schedule the watcher may then call the store only
/// after a silence, a time in which neither a response nor an announcement proved that the
/// state of the watcher is current.
///
/// A watcher keeps itself alive until stop(), and must be owned by a shared_ptr. All time points are on the BootClock.
/// Thread safe, except for setAnnounceHandler().
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
    /// Runs on the executor, one call at a time: for each list, even an empty one, for the end of each watch and
    /// for each announcement that was applied, with or without changes, and for each error with its status. An
    /// expired history is not reported itself; the list that follows is.
    using Handler = std::function<void(const WatchBatch&)>;

    StoreWatcher(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, std::string prefix, Handler, Backoff);

    /// Runs on the executor after each successful watch, and after each list but the first, unless an announcement has
    /// already brought a later revision. An instance that knew all changes up to `from` and applies the batch
    /// knows all changes that the store had at currentAsOf.
    using AnnounceHandler = std::function<void(const WatchBatch&, StoreRevision from, TimePoint currentAsOf)>;

    /// Precondition: start() has not been called.
    void setAnnounceHandler(AnnounceHandler handler) { m_announceHandler = std::move(handler); }
    /// Sets whether this watcher watches the store all the time, which is the default, or calls the store only
    /// after a silence.
    void setSchedule(const WatchSchedule&);
    /// Applies changes that another instance announced. A batch that leaves a gap after the revision known here
    /// is dropped, and the watcher calls the store for the missing changes. A batch from revision 0 is a list; one that is
    /// older than the schedule allows is dropped. The batch's confirmedAt must be on this instance's clock.
    void onAnnouncement(const WatchBatch&, StoreRevision from, TimePoint currentAsOf);

    /// Lists the objects, unless another instance's state has made that needless, then watches.
    void start();
    using StateHandler = std::function<void(const WatchBatch&, TimePoint currentAsOf)>;
    /// Passes all objects that are known here, as a list, to the handler on the executor; a batch of revision 0 when
    /// none was listed yet.
    void state(StateHandler);
    /// Stops the watcher. A handler call that is queued or in progress may still run.
    void stop();

private:
    using Event = std::function<void(TimePoint now, WatchActions&)>;

    /// Posts the event to the strand.
    void post(Event);
    /// Passes the event to the engine, executes the actions and sets the timer.
    void run(const Event&);
    void execute(const ListObjects&);
    void execute(const WatchObjects&);
    void execute(const DeliverBatch&);
    void execute(const AnnounceBatch&);
    void execute(const LogWatchChange&);
    /// Returns the handler of the response to the call in flight.
    ObjectStore::ListHandler responseHandler();
    /// Sets the timer for the engine's next wake, unless it is set for that.
    void setTimer(TimePoint now);

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ObjectStore> m_store;
    std::string m_prefix;
    Handler m_handler;
    AnnounceHandler m_announceHandler;
    WatchEngine m_engine;
    bool m_isStopped = false;
    TimePoint m_timerAt = never; ///< When the timer fires.
    BootClock m_clock; ///< Counts the time of a suspension, so that announcements received before the suspension go stale.
};

}
