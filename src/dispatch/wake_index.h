#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lycheefield {

/// Which of many objects must be woken first. An object is named by a serial number; wakes at the
/// same time come in the order of the serials. Not thread safe.
class WakeIndex {
public:
    using Serial = std::uint64_t;

    /// Sets when the object must be woken; `never` takes it out.
    void set(Serial, TimePoint);
    /// `never` when there is none.
    TimePoint earliest() const { return m_order.empty() ? never : m_order.begin()->first; }
    /// Those that must be woken at or before the time, the earliest first.
    std::vector<Serial> dueBy(TimePoint) const;

private:
    std::set<std::pair<TimePoint, Serial>> m_order;
    std::map<Serial, TimePoint> m_times;
};

}
