#pragma once

#include "platform/backoff.h"
#include "platform/watch_action.h"
#include "platform/watch_schedule.h"

#include <map>
#include <string>

namespace lycheefield {

/// Decides how the objects below a prefix are followed: when the store is called, what its responses and the announcements of
/// other instances prove, and which state is known.
///
/// The state goes from revision to revision. Within an epoch of the store it never goes back; the state of a later epoch replaces
/// it as a whole, and what was proven in the earlier epoch no longer counts. A store that names no epochs has gone back when a response
/// has a lower revision than the one that was known when the call was sent.
///
/// Does no I/O and reads no clock: events carry the time, and actions are appended in the order in which they are to be executed.
/// At most one call is in flight. All time points are on one clock, which must count the time of a suspension. Not thread safe.
class WatchEngine {
public:
    /// prefix: names the objects in log lines.
    WatchEngine(std::string prefix, Backoff);

    /// Begins to call the store: lists, unless another instance's state has made that needless. Has no effect the second time.
    void start(TimePoint now, WatchActions&);
    /// Sets whether the store is watched all the time, which is the default, or called only after a silence. A schedule with a shorter
    /// silence starts the engine.
    void setSchedule(const WatchSchedule&, TimePoint now, WatchActions&);
    /// Handles the response to the call in flight. Precondition: a ListObjects or WatchObjects action has had no response yet.
    void onResponse(const WatchBatch&, TimePoint now, WatchActions&);
    /// Handles changes that another instance announced, or its whole state when from.number is 0.
    /// currentAsOf: as in AnnounceBatch.
    void onAnnouncement(const WatchBatch&, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions&);
    /// Handles a timer that was set for nextWake(). Earlier calls are harmless.
    void onTimer(TimePoint now, WatchActions&);
    /// Returns when onTimer() is to be called; `never` while a call is in flight and before start(). Changes with each event.
    TimePoint nextWake() const;

    /// Returns all objects that are known, as a list; a batch of revision 0 when none was listed yet, or when the store is known to have
    /// a later epoch or to have dropped the history since.
    WatchBatch state() const;
    /// Returns the latest time for which all changes are known to have been seen; the epoch when there is none.
    TimePoint provenAt() const { return m_provenAt; }
    StoreRevision revision() const { return m_revision; }

private:
    /// The last call.
    struct Call {
        bool isInFlight = false;
        bool isList = false;
        TimePoint at {};
        StoreRevision known; ///< The known revision when the call was sent.
        Duration wait {};
    };

    /// Calls the store if that is due.
    void callIfDue(TimePoint now, WatchActions&);
    /// Returns when the store is to be called by the schedule; a time in the past means now.
    TimePoint scheduledCallAt() const;
    /// Handles a response that can't be used, with a pause before the call is repeated.
    void onFailedCall(const WatchBatch&, TimePoint now, WatchActions&);
    /// Handles the response to a list. What it tells beyond the known state is announced, so that others need not list.
    void onList(const WatchBatch&, TimePoint now, WatchActions&);
    /// Handles the response to a watch.
    void onChanges(const WatchBatch&, TimePoint now, WatchActions&);
    /// Applies the batch and appends its delivery. A batch that is not newer than the known state is delivered without its changes.
    void deliver(WatchBatch, bool isNewer, WatchActions&);
    /// Records that the store may hold changes that are not known here, to be read at that time at the latest.
    void markBehind(TimePoint callAt, TimePoint now);
    /// Returns the changes that lead from the known objects to those of the list.
    WatchBatch changesTo(const WatchBatch& list) const;
    /// Returns the time up to which a response without changes proves that no change was missed.
    TimePoint provenByNoChange(TimePoint now) const;
    /// Logs a response from another epoch, or of a lower revision than the one that was known when it was asked for.
    void logRegression(const WatchBatch&, WatchActions&);

    std::string m_prefix;
    Backoff m_backoff;
    WatchSchedule m_schedule;
    Call m_call;
    bool m_isStarted = false;
    bool m_isListed = false;
    bool m_isRegressionLogged = false; ///< Since the last response that was no regression.
    bool m_isBehind = false; ///< The store may hold changes not seen yet: a response may be truncated, or an announcement was missed.
    StoreRevision m_revision;
    std::map<std::string, StoredObject> m_objects; ///< The objects that exist as of m_revision, by key.
    TimePoint m_provenAt {}; ///< Latest time for which all changes are known to have been seen.
    TimePoint m_confirmedAt {}; ///< Unlike m_provenAt it never includes time that a call waited: it is when a call was sent.
    TimePoint m_announcedAt {}; ///< When another instance last announced changes that follow on the known state.
    TimePoint m_behindSince {}; ///< An announcement that proves a later state makes the call for the missing changes needless.
    TimePoint m_missingDueAt {}; ///< When the missing changes are to be read at the latest. Of meaning while m_isBehind.
    TimePoint m_notBefore {}; ///< The store is not called earlier: after a failure, and so that changes in quick succession share a call.
};

}
