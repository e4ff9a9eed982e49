#pragma once

#include "platform/call_failure_log.h"
#include "platform/call_retry.h"
#include "platform/epoch_evidence.h"
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
    /// a later epoch or to have dropped the history since, or when the list was read while the store changed.
    WatchBatch state() const;
    /// Returns the latest time for which all changes are known to have been seen; the epoch when there is none.
    TimePoint provenAt() const { return m_provenAt; }
    StoreRevision revision() const { return m_revision; }

private:
    /// The last call.
    struct Call {
        bool isInFlight = false;
        bool isList = false;
        bool wasBehind = false; ///< Changes were known to be missing when the call was sent.
        TimePoint at {};
        StoreRevision known {}; ///< The known revision when the call was sent.
        Duration wait {};
        std::uint64_t latestEpoch = 0; ///< The latest epoch known when the call was sent.
        TimePoint previousAt {}; ///< When the call before it was sent.
    };

    /// Takes the epoch of a response that can't be used for the store's if the store keeps naming it.
    void reviewEpoch(const WatchBatch& response, TimePoint now, WatchActions&);
    /// Calls the store if that is due.
    void callIfDue(TimePoint now, WatchActions&);
    /// Returns when the store is to be called by the schedule; a time in the past means now.
    TimePoint scheduledCallAt() const;
    /// Returns when the store is to be called although nothing is known to be missing.
    TimePoint silenceEndsAt() const;
    /// Whether the revision is lower than the one that was known when the call was sent, in the same epoch.
    bool isLowerThanAtCall(const StoreRevision&) const;
    /// Whether no later epoch is known. False for an epoch that can't have been read correctly.
    bool isCurrentOrLater(std::uint64_t epoch) const;
    /// Whether the response tells of the store's current epoch, at the state that was known when the call was sent or later.
    bool isUsable(const WatchBatch&) const;
    /// Handles a response that can't be used: the call is repeated after a pause.
    void onFailedCall(const WatchBatch&, TimePoint now, WatchActions&);
    void onExpiredHistory(const WatchBatch&, TimePoint now);
    /// Handles the response to a list. What it tells beyond the known state is announced, so that others need not list.
    void onList(const WatchBatch&, TimePoint now, WatchActions&);
    /// Handles the response to a watch.
    void onChanges(const WatchBatch&, TimePoint now, WatchActions&);
    /// Records after a response with changes that there may be more.
    void readFurther(std::size_t changes, TimePoint now);
    /// Takes another instance's state.
    void applyState(const WatchBatch&, TimePoint currentAsOf, TimePoint now, WatchActions&);
    /// Handles changes that another instance announced in the epoch that is known here.
    void applyDifference(const WatchBatch&, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions&);
    /// Handles announced changes that lead to another epoch, or back in a store that names none.
    void crossEpoch(const WatchBatch&, StoreRevision from, TimePoint currentAsOf, TimePoint now, WatchActions&);
    void takeProof(const WatchBatch&, TimePoint currentAsOf);
    /// Records that the store may hold changes that are not known here, to be read at that time at the latest.
    void markBehind(TimePoint callAt, TimePoint now);
    void forgetProofs();
    /// Records that the store may have lost the known state: only a list can tell.
    void distrustState(std::uint64_t latestEpoch);
    /// The same, with a pause before the list, so that not all instances list at once.
    void distrustAfterGap(std::uint64_t latestEpoch, TimePoint now);
    /// Whether the known objects are those of m_revision.
    bool isExact() const { return m_revision.number >= m_mixedUpTo; }
    /// Replaces the known state, whatever its revision is.
    void adopt(const WatchBatch& list, bool isOtherEpoch, WatchActions&);
    /// Applies changes that follow on the known state.
    void apply(const WatchBatch&);
    /// Appends the delivery of the batch, with the proof that holds for the known state.
    void deliver(WatchBatch, WatchActions&) const;
    std::vector<StoredObject> objects() const;
    /// Returns the changes that lead from the known objects to those of the list.
    WatchBatch changesTo(const WatchBatch& list) const;
    /// Returns the time up to which a response without changes proves that no change was missed.
    TimePoint provenByNoChange(TimePoint now) const;
    /// Logs a response from another epoch, or of a lower revision than the one that was known when it was asked for.
    void logRegression(const WatchBatch&, WatchActions&);
    /// Logs that the batch replaces the known state. Precondition: it is not applied yet.
    void logNewEpoch(const WatchBatch&, WatchActions&) const;

    std::string m_prefix;
    CallRetry m_retry;
    WatchSchedule m_schedule;
    Call m_call;
    bool m_isStarted = false;
    bool m_isListed = false;
    bool m_mustList = false; ///< No watch can follow on the known state.
    bool m_hasExpired = false; ///< The store had dropped its history at a call since the last successful watch.
    bool m_isRegressionLogged = false; ///< Since the last response that was no regression.
    bool m_isBehind = false; ///< The store may hold changes not seen yet: a response may be truncated, or an announcement was missed.
    std::uint64_t m_latestEpoch = 0; ///< The latest one that a usable response or an announcement named.
    CallFailureLog m_failureLog;
    EpochEvidence m_otherEpoch; ///< From responses to calls that were sent when m_latestEpoch was known.
    StoreRevision m_revision;
    std::uint64_t m_mixedUpTo = 0; ///< The objects may hold changes up to this number although m_revision is lower.
    std::map<std::string, StoredObject> m_objects; ///< The objects that exist as of m_revision, by key.
    TimePoint m_provenAt {}; ///< Latest time for which all changes are known to have been seen.
    TimePoint m_confirmedAt {}; ///< Unlike m_provenAt it never includes time that a call waited: it is when a call was sent.
    TimePoint m_announcedAt {}; ///< When another instance last announced changes that follow on the known state.
    TimePoint m_behindSince {}; ///< An announcement that proves a later state makes the call for the missing changes needless.
    TimePoint m_missingDueAt {}; ///< When the missing changes are to be read at the latest, while m_isBehind.
    TimePoint m_notBefore {}; ///< The store is not called earlier: after a failure, and so that changes in quick succession share a call.
};

}
