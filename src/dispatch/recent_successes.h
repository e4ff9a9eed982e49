#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>

namespace lycheefield {

/// Remembers contents that servers answered lately: bounded, and it may forget early. Content that
/// ran well elsewhere is an unlikely cause of a crash. Not thread safe.
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
