#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lycheefield {

/// An index of objects by the time at which each must be woken. Objects are identified by serial
/// numbers; wakes at the same time are ordered by serial. Not thread safe.
class WakeIndex {
public:
    using Serial = std::uint64_t;

    /// Sets when the object must be woken; `never` removes the object.
    void set(Serial, TimePoint);
    /// The earliest wake; `never` when the index is empty.
    TimePoint earliest() const { return m_order.empty() ? never : m_order.begin()->first; }
    /// The objects that must be woken at or before the time, the earliest first.
    std::vector<Serial> dueBy(TimePoint) const;

private:
    std::set<std::pair<TimePoint, Serial>> m_order;
    std::map<Serial, TimePoint> m_times;
};

}
