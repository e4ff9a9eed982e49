#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>

namespace lycheefield {

/// The contents that servers answered recently, which are an unlikely cause of a crash. Capacity is
/// fixed, so an entry may be overwritten before its retention period ends. Not thread safe.
class RecentSuccesses {
public:
    void add(Fingerprint, TimePoint);
    bool contains(Fingerprint, TimePoint) const;
    void forget(Fingerprint);

private:
    static constexpr std::size_t capacity = 4096;
    struct Slot {
        Fingerprint fingerprint;
        TimePoint at = never;
    };

    static std::size_t indexOf(Fingerprint fingerprint) { return fingerprint.value() % capacity; }

    std::array<Slot, capacity> m_slots;
};

}
