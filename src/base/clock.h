#pragma once

#include "base/time.h"

namespace lycheefield {

/// Source of the current time for the code that drives the engines. An engine reads no clock: each event
/// passes the time to it. Thread safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// Monotonic clock of the system; stops while the machine is suspended.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override;
};

/// Monotonic clock that keeps running while the machine is suspended, so that deadlines expire during a suspension.
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

}
