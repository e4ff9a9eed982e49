#pragma once

#include "base/clock.h"

namespace lycheefield {

/// A clock that advances only when the test calls advance() or advanceTo().
class VirtualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(Duration duration) { m_now += duration; }
    /// Precondition: the time is not in the past.
    void advanceTo(TimePoint time) { m_now = time; }

private:
    TimePoint m_now { Duration(1) };
};

}
