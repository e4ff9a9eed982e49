#pragma once

#include "base/stored_object.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield::standin {

using namespace std::chrono_literals;

/// Active faults, in any combination.
struct PlatformFaults {
    bool outage = false;
    Duration delay {}; ///< Added to every response.
    std::uint32_t loseWriteAnswers = 0; ///< The next N writes take effect and their responses are lost.
    std::uint32_t lateWrites = 0; ///< The next N writes get no response and take effect `lateBy` after their arrival.
    Duration lateBy = 100ms;
    Duration instanceLag {}; ///< Age of the state that the instance list shows.
    std::uint32_t callsPerSecond = 0; ///< Rate limit; calls above the limit are refused. 0: no limit.

    friend bool operator==(const PlatformFaults&, const PlatformFaults&) = default;
};

struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceCalls = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t rateLimited = 0;
    std::uint64_t refusedInOutage = 0;
    std::uint64_t lostResponses = 0;
    std::uint64_t bytesWritten = 0;

    friend bool operator==(const PlatformCounters&, const PlatformCounters&) = default;
};

/// HTTP status of a platform response.
enum class PlatformStatus : std::uint16_t {
    Ok = 200,
    NotFound = 404,
    Conflict = 409,
    TooLarge = 413,
    RateLimited = 429,
    Outage = 503,
};

struct StoreResult {
    PlatformStatus status = PlatformStatus::Ok;
    bool lost = false; ///< The client never receives this response.
    Duration delay {}; ///< Time until the client receives the response.
    StoredObject object; ///< Of a read or write; after a conflict, `version` is the current one.
    std::uint64_t revision = 0; ///< Of a list or watch.
    std::vector<StoredObject> objects;
};

/// Converts to the status that the ObjectStore interface reports.
StoreStatus toStoreStatus(const StoreResult&);

/// The instance list: the JSON text that each instance reported, by instance name.
using InstanceReports = std::map<std::string, std::string>;

/// State and faults of the platform, without I/O: the stand-in program serves the store over HTTP, fault
/// tests call it in virtual time. Not thread safe. Precondition: the times passed never decrease.
class PlatformStore {
public:
    static constexpr std::size_t maxValueBytes = 1024 * 1024;

    StoreResult read(const std::string& key, TimePoint);
    StoreResult write(const std::string& key, ObjectVersion expected, const std::string& value, TimePoint);
    StoreResult list(const std::string& prefix, TimePoint);
    /// Counts and admits a watch. The caller then uses `changedAfter` to find out whether a response is due.
    StoreResult beginWatch(TimePoint);
    /// Returns the objects below the prefix that changed after the revision.
    std::vector<StoredObject> changedAfter(const std::string& prefix, std::uint64_t revision) const;

    StoreResult reportInstance(const std::string& name, std::string report, TimePoint);
    void removeInstance(const std::string& name, TimePoint);
    /// Returns the list as of `instanceLag` ago; no value when the call is refused.
    std::optional<InstanceReports> instances(TimePoint);

    /// Applies the late writes that are due. Every call that can be refused does so first.
    void advance(TimePoint);
    /// Time at which the next late write takes effect; `never` when there is none.
    TimePoint nextWake() const;

    void setFaults(const PlatformFaults&);
    const PlatformFaults& faults() const { return m_faults; }
    PlatformCounters counters() const { return m_counters; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, StoredObject>& objects() const { return m_objects; }
    /// Sets a callback for every change of an object.
    void onChange(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    struct LateWrite {
        TimePoint at;
        std::string key;
        ObjectVersion expected;
        std::string value;
    };

    /// Returns the refusal of a call during an outage or above the rate limit; no value when the call is admitted.
    std::optional<StoreResult> refuse(TimePoint);
    StoreResult apply(const std::string& key, ObjectVersion expected, const std::string& value);
    void recordInstances(TimePoint);

    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_revision = 0;
    std::vector<LateWrite> m_lateWrites;
    InstanceReports m_instances;
    std::deque<std::pair<TimePoint, InstanceReports>> m_instanceHistory;
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    double m_tokens = 0;
    TimePoint m_lastRefill {};
    std::function<void()> m_listener;
};

}
