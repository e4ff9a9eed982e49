#include "standin/platform_store.h"

#include <algorithm>

namespace lycheefield::standin {

namespace {

bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

constexpr double microsecondsPerSecond = 1e6;

}

StoreStatus toStoreStatus(const StoreResult& response)
{
    if (response.lost)
        return StoreStatus::Lost;
    switch (response.status) {
    case PlatformStatus::Ok:
        return StoreStatus::Ok;
    case PlatformStatus::NotFound:
        return StoreStatus::NotFound;
    case PlatformStatus::Conflict:
        return StoreStatus::Conflict;
    case PlatformStatus::TooLarge:
    case PlatformStatus::RateLimited:
    case PlatformStatus::Outage:
        return StoreStatus::Unavailable;
    }
    return StoreStatus::Unavailable;
}

std::optional<StoreResult> PlatformStore::refuse(TimePoint now)
{
    advance(now);
    StoreResult response;
    response.delay = m_faults.delay;
    if (m_faults.outage) {
        ++m_counters.refusedInOutage;
        response.status = PlatformStatus::Outage;
        return response;
    }
    if (m_faults.callsPerSecond == 0)
        return std::nullopt;
    const double limit = m_faults.callsPerSecond;
    m_tokens = std::min(limit, m_tokens + limit * static_cast<double>((now - m_lastRefill).count()) / microsecondsPerSecond);
    m_lastRefill = now;
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return std::nullopt;
    }
    ++m_counters.rateLimited;
    response.status = PlatformStatus::RateLimited;
    return response;
}

StoreResult PlatformStore::read(const std::string& key, TimePoint now)
{
    ++m_counters.reads;
    if (auto rejection = refuse(now))
        return *rejection;
    StoreResult response;
    response.delay = m_faults.delay;
    auto it = m_objects.find(key);
    if (it == m_objects.end()) {
        response.status = PlatformStatus::NotFound;
        response.object.key = key;
        return response;
    }
    response.object = it->second;
    return response;
}

StoreResult PlatformStore::write(const std::string& key, ObjectVersion expected, const std::string& value, TimePoint now)
{
    ++m_counters.writes;
    m_counters.bytesWritten += value.size();
    if (auto rejection = refuse(now))
        return *rejection;
    StoreResult response;
    response.delay = m_faults.delay;
    if (value.size() > maxValueBytes) {
        response.status = PlatformStatus::TooLarge;
        return response;
    }
    if (m_faults.lateWrites > 0) {
        --m_faults.lateWrites;
        ++m_counters.lostResponses;
        m_lateWrites.push_back({ now + m_faults.lateBy, key, expected, value });
        response.lost = true;
        return response;
    }
    response = apply(key, expected, value);
    response.delay = m_faults.delay;
    if (m_faults.loseWriteAnswers > 0) {
        --m_faults.loseWriteAnswers;
        ++m_counters.lostResponses;
        response.lost = true;
    }
    return response;
}

StoreResult PlatformStore::apply(const std::string& key, ObjectVersion expected, const std::string& value)
{
    StoreResult response;
    response.object.key = key;
    auto it = m_objects.find(key);
    const ObjectVersion current = it == m_objects.end() ? ObjectVersion {} : it->second.version;
    if (current != expected) {
        ++m_counters.conflicts;
        response.status = PlatformStatus::Conflict;
        response.object.version = current;
        return response;
    }
    response.object.version = ObjectVersion { ++m_revision };
    m_objects[key] = StoredObject { key, response.object.version, value };
    if (m_listener)
        m_listener();
    return response;
}

StoreResult PlatformStore::list(const std::string& prefix, TimePoint now)
{
    ++m_counters.lists;
    if (auto rejection = refuse(now))
        return *rejection;
    StoreResult response;
    response.delay = m_faults.delay;
    response.revision = m_revision;
    response.objects = changedAfter(prefix, 0);
    return response;
}

StoreResult PlatformStore::beginWatch(TimePoint now)
{
    ++m_counters.watches;
    if (auto rejection = refuse(now))
        return *rejection;
    StoreResult response;
    response.delay = m_faults.delay;
    response.revision = m_revision;
    return response;
}

std::vector<StoredObject> PlatformStore::changedAfter(const std::string& prefix, std::uint64_t revision) const
{
    std::vector<StoredObject> changed;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && startsWith(it->first, prefix); ++it) {
        if (it->second.version.value > revision)
            changed.push_back(it->second);
    }
    return changed;
}

StoreResult PlatformStore::reportInstance(const std::string& name, std::string report, TimePoint now)
{
    ++m_counters.instanceCalls;
    if (auto rejection = refuse(now))
        return *rejection;
    m_instances[name] = std::move(report);
    recordInstances(now);
    StoreResult response;
    response.delay = m_faults.delay;
    return response;
}

void PlatformStore::removeInstance(const std::string& name, TimePoint now)
{
    m_instances.erase(name);
    recordInstances(now);
}

void PlatformStore::recordInstances(TimePoint now)
{
    m_instanceHistory.emplace_back(now, m_instances);
    // Only the newest state older than the lag and the states after it can still be shown.
    while (m_instanceHistory.size() > 1 && m_instanceHistory[1].first + m_faults.instanceLag <= now)
        m_instanceHistory.pop_front();
}

std::optional<InstanceReports> PlatformStore::instances(TimePoint now)
{
    ++m_counters.instanceCalls;
    if (refuse(now))
        return std::nullopt;
    InstanceReports visible;
    for (const auto& [at, reports] : m_instanceHistory) {
        if (at + m_faults.instanceLag <= now)
            visible = reports;
    }
    return visible;
}

void PlatformStore::advance(TimePoint now)
{
    while (true) {
        auto due = std::min_element(m_lateWrites.begin(), m_lateWrites.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        if (due == m_lateWrites.end() || due->at > now)
            return;
        const LateWrite late = *due;
        m_lateWrites.erase(due);
        apply(late.key, late.expected, late.value);
    }
}

TimePoint PlatformStore::nextWake() const
{
    TimePoint next = never;
    for (const auto& late : m_lateWrites)
        next = std::min(next, late.at);
    return next;
}

void PlatformStore::setFaults(const PlatformFaults& faults)
{
    if (faults.callsPerSecond != m_faults.callsPerSecond)
        m_tokens = faults.callsPerSecond;
    m_faults = faults;
}

}
