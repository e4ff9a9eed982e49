#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// The number of legs that one server may run at the same time: its slots, and fewer after the
/// server shed load and during slow start. Adapts by additive increase and multiplicative decrease.
/// Not thread safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(std::uint32_t slots) { setSlots(slots); }

    void setSlots(std::uint32_t);
    /// Records that the server shed a leg: halves the limit and backs off for a time.
    void onShed(Duration retryAfter, TimePoint);
    void onSuccess();
    /// Raises the limit from one leg to all slots over the duration.
    void beginSlowStart(TimePoint, Duration);

    /// Legs that the server may hold at this time; zero during a back-off.
    std::uint32_t at(TimePoint) const;
    /// When at() may next rise without a further event; `never` when it cannot.
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
