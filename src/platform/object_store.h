#pragma once

#include "base/stored_object.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheefield {

/// What a watch saw: the objects that changed after the given revision, and the revision reached.
struct WatchBatch {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t revision = 0;
    std::vector<StoredObject> changed;
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
    /// Waits until an object below the prefix changes after the revision, or the platform's limit passes.
    virtual void watch(const std::string& prefix, std::uint64_t afterRevision, ListHandler) = 0;
};

}
