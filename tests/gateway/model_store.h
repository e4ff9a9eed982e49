#pragma once

#include "platform/object_store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

/// Events in virtual time.
class VirtualEvents {
public:
    TimePoint now() const { return m_now; }
    void at(TimePoint time, std::function<void()> action) { m_events.emplace(std::max(time, m_now), std::move(action)); }
    void after(Duration time, std::function<void()> action) { at(m_now + time, std::move(action)); }
    void runFor(Duration);

private:
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now { std::chrono::seconds(1000) };
};

/// The platform's store in virtual time: revisions, epochs, watches with waits, a bounded history, outages, and the return from an
/// older copy, after which revision numbers are given out again.
class ModelStore {
public:
    using Respond = std::function<void(const WatchBatch&)>;
    enum class Health : std::uint8_t { Sound,
        Refuses,
        Silent };

    explicit ModelStore(VirtualEvents&);

    void put(const std::string& key);
    void remove(const std::string& key);
    /// Writes objects that are not below the prefix.
    void writeElsewhere(std::uint64_t writes) { m_state.revision += writes; }
    bool contains(const std::string& key) const { return m_state.objects.contains(key); }
    /// Drops the history: a watch from an earlier revision gets HistoryExpired.
    void forgetHistory();
    void setHealth(Health);
    Health health() const { return m_health; }
    void saveCopy() { m_copy = m_state; }
    /// Brings the store back from its copy in the next epoch. Open watches get no response.
    void restoreCopy();

    void list(const Respond&);
    void watch(std::uint64_t after, Duration wait, const Respond&);

    /// The values that an object had at any time since then, each as long as it was in force. Every write gives another value; no value: the
    /// object did not exist.
    std::vector<std::optional<std::string>> valuesSince(TimePoint, const std::string& key) const;
    /// All objects that ever existed.
    std::vector<std::string> keys() const;
    /// Since when the store has responded.
    TimePoint soundSince() const { return m_soundSince; }
    std::size_t calls() const { return m_calls; }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string value;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value;
    };
    struct State {
        std::map<std::string, Object> objects;
        std::vector<Event> events;
        std::uint64_t revision = 1;
        std::uint64_t historyStart = 0;
    };
    struct Watch {
        std::uint64_t after = 0;
        Respond respond;
    };
    struct Value {
        TimePoint from;
        std::optional<std::string> value;
    };

    WatchBatch response(StoreStatus) const;
    std::optional<WatchBatch> changesAfter(std::uint64_t revision) const;
    void record(const std::string& key, const std::optional<std::string>& value);
    void respondToWatches();

    VirtualEvents& m_events;
    State m_state;
    State m_copy;
    std::uint64_t m_epoch = 1;
    std::map<std::uint64_t, Watch> m_watches; ///< By number of the call.
    std::map<std::string, std::vector<Value>> m_values; ///< What each object was, by time.
    Health m_health = Health::Sound;
    TimePoint m_soundSince {};
    std::uint64_t m_writes = 0;
    std::size_t m_calls = 0;
};

}
