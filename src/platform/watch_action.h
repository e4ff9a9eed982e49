#pragma once

#include "base/store_revision.h"
#include "base/time.h"
#include "observe/log.h"
#include "platform/object_store.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// List all objects, and pass the response to WatchEngine::onResponse().
struct ListObjects {
};

/// Watch for changes, and pass the response to WatchEngine::onResponse().
struct WatchObjects {
    StoreRevision after;
    Duration wait {}; ///< Longest wait of the watch.
};

/// Pass the batch to the owner of the engine: a list, the end of a watch or an applied announcement, or an error with its status.
struct DeliverBatch {
    WatchBatch batch;
};

/// Tell other instances. One that knew all changes up to `from` and applies the batch knows all changes that the store had at
/// currentAsOf; the epoch when that time is unknown.
struct AnnounceBatch {
    WatchBatch batch;
    StoreRevision from;
    TimePoint currentAsOf {};
};

/// Log a change of what the store is seen to do.
struct LogWatchChange {
    LogLevel level = LogLevel::Warning;
    std::string event;
    std::vector<LogField> fields;
};

using WatchAction = std::variant<ListObjects, WatchObjects, DeliverBatch, AnnounceBatch, LogWatchChange>;
using WatchActions = std::vector<WatchAction>;

}
