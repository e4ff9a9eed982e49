#pragma once

#include "base/stored_object.h"
#include "base/time.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheefield {

/// What a list or a watch saw, and the revision reached. A list holds all objects, a watch those that
/// changed after the given revision.
struct WatchBatch {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t revision = 0;
    std::vector<StoredObject> changed {};
    std::vector<std::string> removed {}; ///< Keys of objects that are gone; in a watch only.
    bool isWhole = false; ///< It is a list: what it does not hold is gone. Set by StoreWatcher.
};

/// The platform's object API. Calls return at once; each handler runs exactly once, on the
/// executor the implementation was built with. Thread safe.
class ObjectStore {
public:
    using ObjectHandler = std::function<void(StoreStatus, StoredObject)>;
    using ListHandler = std::function<void(WatchBatch)>;

    virtual ~ObjectStore() = default;
    virtual void read(const std::string& key, ObjectHandler) = 0;
    /// Writes if the object's version is still `expected`; version 0: only if it does not exist.
    virtual void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler) = 0;
    /// All objects below the prefix.
    virtual void list(const std::string& prefix, ListHandler) = 0;
    /// The same as it was some seconds ago at most, which costs the store less where it tells them apart.
    virtual void listRecent(const std::string& prefix, ListHandler handler) { list(prefix, std::move(handler)); }
    /// Waits until an object below the prefix changes after the revision, for mostWait or the settings'
    /// limit, whichever is shorter.
    virtual void watch(const std::string& prefix, std::uint64_t afterRevision, Duration mostWait, ListHandler) = 0;
};

}
