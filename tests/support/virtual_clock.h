#pragma once

#include "base/clock.h"

namespace lycheefield {

/// A clock that moves only when the test says so.
class VirtualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(Duration duration) { m_now += duration; }
    /// Precondition: the time does not lie in the past.
    void advanceTo(TimePoint time) { m_now = time; }

private:
    TimePoint m_now { Duration(1) };
};

}
