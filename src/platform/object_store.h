#pragma once

#include "base/ids.h"
#include "base/store_revision.h"
#include "base/stored_object.h"
#include "base/time.h"
#include "platform/failure_cause.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheefield {

/// The result of a list or a watch, and the store's revision at that point. A list holds all objects, a watch
/// only those that changed after the given revision.
struct WatchBatch {
    StoreStatus status = StoreStatus::Unavailable;
    StoreRevision revision {}; ///< Of a failed call: its epoch alone, 0 when the response names none.
    std::vector<StoredObject> changed {};
    std::vector<std::string> removed {}; ///< Keys of removed objects; only from a watch.
    std::uint64_t mixedUpTo = 0; ///< Of a list that was read in parts while the store changed: the number up to which it may hold changes after its revision; 0: none.
    bool isFullList = false; ///< True for a list: an object missing from it has been removed. Set by WatchEngine.
    bool isComparison = false; ///< Of an announced batch: made by comparing two lists, so it does not name an object that came and went between them. Set by WatchEngine.
    bool isNewEpoch = false; ///< True for the first list of a later epoch of the store than the one known before. Set by WatchEngine.
    InstanceName announcedBy {}; ///< The instance that announced the batch; empty: this instance read it from the store.
    TimePoint provenAt {}; ///< Latest time for which all changes are known to have been seen. Set by WatchEngine.
    TimePoint confirmedAt {}; ///< Sending time of the latest call whose response shows that nothing later than this batch existed when the call was sent; the epoch when there was none. Set by WatchEngine.
    std::string why {}; ///< Of a failed call: why it failed, for logs.
    FailureCause cause = FailureCause::Store; ///< Of a failed call.
    Duration pauseLeft {}; ///< Of a call that failed for the client's pause: the time until the client sends calls again.
};

/// The platform's object API. Calls return at once; each handler runs exactly once, on the
/// implementation's executor. Thread safe.
class ObjectStore {
public:
    using ObjectHandler = std::function<void(StoreStatus, StoredObject)>;
    using ListHandler = std::function<void(WatchBatch)>;

    virtual ~ObjectStore() = default;
    virtual void read(const std::string& key, ObjectHandler) = 0;
    /// Compare-and-set: writes if the object's version is still `expected`; with version 0, if the object
    /// does not exist.
    virtual void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler) = 0;
    using RemovalHandler = std::function<void(StoreStatus)>;
    /// Removes the object if its version is still `expected`. NotFound: there was none. The default removes nothing and calls the handler with Unavailable, for a store
    /// that offers no removal. Precondition: expected is not 0.
    virtual void remove(const std::string& /*key*/, ObjectVersion /*expected*/, const RemovalHandler& handler) { handler(StoreStatus::Unavailable); }
    /// Lists all objects below the prefix.
    virtual void list(const std::string& prefix, ListHandler) = 0;
    /// Lists all objects below the prefix as of a few seconds ago at most. Costs less at a store that offers such
    /// reads; the default is list().
    virtual void listRecent(const std::string& prefix, ListHandler handler) { list(prefix, std::move(handler)); }
    /// Waits until an object below the prefix changes after the revision, at most for maxWait or the
    /// settings' limit, whichever is shorter.
    virtual void watch(const std::string& prefix, std::uint64_t afterRevision, Duration maxWait, ListHandler) = 0;
};

}
