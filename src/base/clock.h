#pragma once

#include "base/time.h"

namespace lycheefield {

/// Tells the time. Decision code is given a time with each event and reads no clock itself; this
/// interface is for the code that drives it. Thread safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override;
};

/// A monotonic clock that goes on while the machine is suspended, so that deadlines pass meanwhile.
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

}
