#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// How many legs may be at a server at one time: its slots, fewer after it shed work and while it
/// warms up. Additive increase, multiplicative decrease. Not thread safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(std::uint32_t slots) { setSlots(slots); }

    void setSlots(std::uint32_t);
    /// The server turned a leg away: halves the limit and sends nothing for a time.
    void onShed(Duration retryAfter, TimePoint);
    void onSuccess();
    /// Ramps up from one leg to all slots over the duration.
    void startSlowly(TimePoint, Duration);

    /// Legs that may be at the server at this time; zero while it is backing off.
    std::uint32_t at(TimePoint) const;
    /// When at() may grow by the passing of time alone; `never` when it won't.
    TimePoint nextChange(TimePoint) const;
    TimePoint backoffUntil() const { return m_backoffUntil; }

private:
    std::uint32_t rampAt(TimePoint) const;

    std::uint32_t m_slots = 0;
    double m_limit = 0;
    Duration m_backoff {};
    TimePoint m_backoffUntil {};
    TimePoint m_rampStart {};
    Duration m_rampTime {};
};

}
