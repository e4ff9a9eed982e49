#pragma once

#include "base/store_revision.h"
#include "platform/object_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// A store that responds to a list at once and leaves each watch in flight until the test completes it.
class PendingWatchStore final : public ObjectStore {
public:
    void read(const std::string& key, ObjectHandler handler) override { handler(StoreStatus::NotFound, { key, {}, {} }); }
    void write(const std::string& key, ObjectVersion, const std::string&, ObjectHandler handler) override { handler(StoreStatus::Unavailable, { key, {}, {} }); }
    void list(const std::string&, ListHandler handler) override
    {
        ++lists;
        if (holdsLists)
            completeList = std::move(handler);
        else
            handler(listed);
    }
    void watch(const std::string&, std::uint64_t after, Duration wait, ListHandler handler) override
    {
        requestedWaits.push_back(wait);
        requestedRevisions.push_back(after);
        completeWatch = std::move(handler);
    }

    static WatchBatch emptyList()
    {
        WatchBatch batch;
        batch.status = StoreStatus::Ok;
        batch.revision.number = 10;
        return batch;
    }

    int lists = 0;
    WatchBatch listed = emptyList(); ///< The response to each list.
    bool holdsLists = false; ///< Lists stay in flight until the test completes them.
    ListHandler completeList;
    std::vector<Duration> requestedWaits;
    std::vector<std::uint64_t> requestedRevisions;
    ListHandler completeWatch;
};

inline StoreRevision revision(std::uint64_t number)
{
    return { 0, number };
}

inline WatchBatch change(std::uint64_t revision, const std::string& key)
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision.number = revision;
    batch.changed.push_back({ key, ObjectVersion { revision }, "value" });
    return batch;
}

inline WatchBatch batchOf(std::uint64_t revision, const std::vector<StoredObject>& objects)
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision.number = revision;
    batch.changed = objects;
    return batch;
}

}
