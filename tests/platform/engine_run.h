#pragma once

#include "platform/watch_engine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

constexpr Duration hour = std::chrono::hours(1);
/// The store is called after a very long silence only.
inline const WatchSchedule quiet { hour, std::chrono::seconds(1), hour, std::chrono::milliseconds(300), {}, hour };

inline StoredObject object(const std::string& name, std::uint64_t version, const std::string& value = "value")
{
    return { "servers/" + name, ObjectVersion { version }, value };
}

inline WatchBatch batchOf(StoreRevision revision, const std::vector<StoredObject>& changed = {}, const std::vector<std::string>& removed = {})
{
    WatchBatch batch;
    batch.status = StoreStatus::Ok;
    batch.revision = revision;
    batch.changed = changed;
    batch.removed = removed;
    return batch;
}

inline WatchBatch failure(StoreStatus status, std::uint64_t epoch)
{
    WatchBatch batch;
    batch.status = status;
    batch.revision.epoch = epoch;
    return batch;
}

inline std::vector<std::string> keysOf(const WatchBatch& batch)
{
    std::vector<std::string> keys;
    for (const auto& it : batch.changed)
        keys.push_back(it.key);
    return keys;
}

/// An engine in virtual time, and what it has done.
class EngineRun {
public:
    explicit EngineRun(const WatchSchedule& schedule = {})
    {
        WatchActions actions;
        engine.setSchedule(schedule, now, actions);
        record(actions);
    }
    /// Starts the engine and answers its list.
    EngineRun(const WatchSchedule& schedule, const WatchBatch& list)
        : EngineRun(schedule)
    {
        start();
        respond(list);
    }

    void start()
    {
        WatchActions actions;
        engine.start(now, actions);
        record(actions);
    }
    void respond(const WatchBatch& response)
    {
        REQUIRE(isCalling());
        isListing = false;
        watch.reset();
        WatchActions actions;
        engine.onResponse(response, now, actions);
        record(actions);
    }
    void announce(const WatchBatch& batch, StoreRevision from, TimePoint currentAsOf)
    {
        WatchActions actions;
        engine.onAnnouncement(batch, from, currentAsOf, now, actions);
        record(actions);
    }
    /// Lets the time pass, up to the next call.
    void advance(Duration time)
    {
        for (const auto end = now + time; !isCalling() && now < end;) {
            now = std::min(end, std::max(now, engine.nextWake()));
            WatchActions actions;
            engine.onTimer(now, actions);
            record(actions);
        }
    }
    bool isCalling() const { return isListing || watch; }
    std::vector<std::string> known() const { return keysOf(engine.state()); }

    TimePoint now = TimePoint {} + 10 * hour;
    WatchEngine engine { "servers/", Backoff(std::chrono::milliseconds(50), std::chrono::milliseconds(500), std::make_unique<SeededRandom>(7)) };
    bool isListing = false;
    std::optional<WatchObjects> watch;
    std::size_t calls = 0;
    std::vector<WatchBatch> delivered;
    std::vector<AnnounceBatch> announced;
    std::vector<LogWatchChange> logged;

private:
    void record(WatchActions& actions)
    {
        for (auto& it : actions)
            std::visit([this](auto& action) { take(action); }, it);
    }
    void take(const ListObjects&)
    {
        REQUIRE_FALSE(isCalling());
        isListing = true;
        ++calls;
    }
    void take(const WatchObjects& action)
    {
        REQUIRE_FALSE(isCalling());
        watch = action;
        ++calls;
    }
    void take(const DeliverBatch& action) { delivered.push_back(action.batch); }
    void take(const AnnounceBatch& action) { announced.push_back(action); }
    void take(const LogWatchChange& action) { logged.push_back(action); }
};

}
