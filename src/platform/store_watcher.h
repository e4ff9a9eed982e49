#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "platform/backoff.h"
#include "platform/object_store.h"
#include "platform/watch_schedule.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <memory>
#include <string>

namespace lycheefield {

/// Follows all objects below a prefix: lists them once, then watches from the revision of the list.
///
/// After an error the watcher continues from the same revision, so no change is skipped, however long the
/// outage was. When the store has dropped its history, the watcher lists again. Other instances that follow
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
    /// already brought a later revision. An instance that knew all changes up to fromRevision and applies the batch
    /// knows all changes that the store had at currentAsOf.
    using AnnounceHandler = std::function<void(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf)>;

    /// Precondition: start() has not been called.
    void setAnnounceHandler(AnnounceHandler handler) { m_announceHandler = std::move(handler); }
    /// Sets whether this watcher watches the store all the time, which is the default, or calls the store only
    /// after a silence.
    void setSchedule(const WatchSchedule&);
    /// Applies changes that another instance announced. A batch that leaves a gap after the revision known here
    /// is dropped, and the watcher calls the store for the missing changes. A batch from revision 0 is a list; one that is
    /// older than the schedule allows is dropped. The batch's confirmedAt must be on this instance's clock.
    void onAnnouncement(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf);

    /// Lists the objects, unless another instance's state has made that needless, then watches.
    void start();
    using StateHandler = std::function<void(const WatchBatch&, TimePoint currentAsOf)>;
    /// Passes all objects that are known here, as a list, to the handler on the executor; a batch of revision 0 when
    /// none was listed yet.
    void state(StateHandler);
    /// Stops the watcher. A handler call that is queued or in progress may still run.
    void stop();

private:
    void callStore();
    void scheduleCall(Duration);
    void onBatch(const WatchBatch&);
    /// Records that the store may hold changes that are not known here.
    void markBehind();
    void onFailedCall(const WatchBatch&);
    /// Handles the response to a list. What it tells beyond the known state is announced, so that others need not list.
    void onList(const WatchBatch&);
    /// Handles the response to a watch.
    void onChanges(const WatchBatch&);
    /// Passes the batch to the handler. A batch that is not newer than the known state is passed without its changes.
    void deliver(WatchBatch, bool isNewer);
    /// Returns the changes that lead from the known state to that of the list.
    WatchBatch changesSinceKnown(const WatchBatch& list) const;
    void applyAnnouncement(const WatchBatch&, std::uint64_t fromRevision, TimePoint currentAsOf);
    /// Returns when the store is to be called next; a time in the past means now.
    TimePoint nextCallAt() const;
    /// Records that nothing later than the known state existed when the last call was sent. Precondition: the response was a list, or
    /// without changes.
    void confirm(const WatchBatch& response);
    /// Logs a response from another epoch of the store, or of a lower revision than the one that was known when it was asked for.
    void logRegression(const WatchBatch&);
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
    std::uint64_t m_epoch = 0; ///< Of the store that gave m_revision.
    bool m_isRegressionLogged = false; ///< Since the last response that was no regression.
    std::map<std::string, StoredObject> m_objects; ///< The objects that exist as of m_revision, by key.
    AnnounceHandler m_announceHandler;
    WatchSchedule m_schedule;
    TimePoint m_calledAt {};
    TimePoint m_provenAt {}; ///< Latest time for which all changes are known to have been seen.
    TimePoint m_confirmedAt {}; ///< Unlike m_provenAt it never includes time that a call waited: it is when a call was sent.
    std::uint64_t m_calledRevision = 0; ///< The known revision when the last call was sent.
    TimePoint m_announcedAt {}; ///< When another instance last announced changes that follow on the known state.
    Duration m_requestedWait {}; ///< Of the watch in flight.
    bool m_isCallInFlight = false;
    bool m_isListCall = false; ///< Whether the last call was a list; another instance's state may arrive while it is in flight.
    bool m_isBehind = false; ///< The store may hold changes not seen yet: a response may be truncated, or an announcement was missed.
    TimePoint m_behindSince {}; ///< An announcement that proves a later state makes the call for the missing changes needless.
    BootClock m_clock; ///< Counts the time of a suspension, so that announcements received before the suspension go stale.
};

}
