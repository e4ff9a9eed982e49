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

/// Faults in force; all of them may be on together.
struct PlatformFaults {
    bool outage = false;
    Duration delay {}; ///< Added to every answer.
    std::uint32_t loseWriteAnswers = 0; ///< The next N writes take effect and their answers are lost.
    std::uint32_t lateWrites = 0; ///< The next N writes get no answer and take effect `lateBy` after they arrived.
    Duration lateBy = 100ms;
    Duration instanceLag {}; ///< The instance list shows the state of this long ago.
    std::uint32_t callsPerSecond = 0; ///< Calls above it are refused; 0: no limit.

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
    std::uint64_t lostAnswers = 0;
    std::uint64_t bytesWritten = 0;

    friend bool operator==(const PlatformCounters&, const PlatformCounters&) = default;
};

/// What the platform answers, and when.
enum class PlatformStatus : std::uint16_t {
    Ok = 200,
    NotFound = 404,
    Conflict = 409,
    TooLarge = 413,
    RateLimited = 429,
    Outage = 503,
};

struct PlatformAnswer {
    PlatformStatus status = PlatformStatus::Ok;
    bool lost = false; ///< The caller never sees this answer.
    Duration delay {}; ///< Passes before the caller sees it.
    StoredObject object; ///< Of a read or write; after a conflict its version is the one in force.
    std::uint64_t revision = 0; ///< Of a list or watch.
    std::vector<StoredObject> objects;
};

/// The status as the ObjectStore interface tells it to its caller.
StoreStatus toStoreStatus(const PlatformAnswer&);

/// One entry of the instance list as the instance reported it; the text is JSON.
using InstanceReports = std::map<std::string, std::string>;

/// The platform's state and faults, without I/O: the stand-in program serves it over HTTP, fault
/// tests call it in virtual time. Not thread safe. Times given must never go back.
class PlatformStore {
public:
    static constexpr std::size_t maxValueBytes = 1024 * 1024;

    PlatformAnswer read(const std::string& key, TimePoint);
    PlatformAnswer write(const std::string& key, ObjectVersion expected, const std::string& value, TimePoint);
    PlatformAnswer list(const std::string& prefix, TimePoint);
    /// Counts and admits a watch; `changedAfter` then tells whether it can be answered.
    PlatformAnswer beginWatch(TimePoint);
    /// What changed below the prefix after the revision; empty when nothing did.
    std::vector<StoredObject> changedAfter(const std::string& prefix, std::uint64_t revision) const;

    PlatformAnswer reportInstance(const std::string& name, std::string report, TimePoint);
    void removeInstance(const std::string& name, TimePoint);
    /// The list as it was `instanceLag` ago; empty when the call is refused.
    std::optional<InstanceReports> instances(TimePoint);

    /// Lets late writes that are due take effect. Every call above does so first.
    void advance(TimePoint);
    /// When the next late write takes effect.
    TimePoint nextWake() const;

    void setFaults(const PlatformFaults&);
    const PlatformFaults& faults() const { return m_faults; }
    PlatformCounters counters() const { return m_counters; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, StoredObject>& objects() const { return m_objects; }
    /// Called after every change of an object.
    void onChange(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    struct LateWrite {
        TimePoint at;
        std::string key;
        ObjectVersion expected;
        std::string value;
    };

    /// Refuses the call in an outage or above the rate limit.
    std::optional<PlatformAnswer> refuse(TimePoint);
    PlatformAnswer apply(const std::string& key, ObjectVersion expected, const std::string& value);
    void rememberInstances(TimePoint);

    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_revision = 0;
    std::vector<LateWrite> m_late;
    InstanceReports m_instances;
    std::deque<std::pair<TimePoint, InstanceReports>> m_instanceHistory;
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    double m_tokens = 0;
    TimePoint m_refilled {};
    std::function<void()> m_listener;
};

}
