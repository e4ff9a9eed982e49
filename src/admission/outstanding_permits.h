#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace lycheefield {

/// Counts the unused permits of one team that instances may hold, by the time when they are lost. Expiry is rounded up to whole slots.
/// Not thread safe.
class OutstandingPermits {
public:
    static constexpr Duration maxLifetime = std::chrono::milliseconds(1500);

    /// Precondition: the lifetime is at most maxLifetime.
    void add(std::uint32_t permits, Duration lifetime, TimePoint);
    std::uint32_t count(TimePoint);

private:
    static constexpr Duration slotTime = std::chrono::milliseconds(250);
    static constexpr std::int64_t slots = maxLifetime / slotTime + 2;

    void expire(TimePoint);

    std::array<std::uint32_t, static_cast<std::size_t>(slots)> m_bySlot {};
    std::int64_t m_slot = 0; ///< The slot of the latest time.
    std::uint32_t m_count = 0;
};

}
