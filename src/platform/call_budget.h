#pragma once

#include "base/time.h"

namespace lycheefield {

/// Limits the calls of one kind to a steady rate with short bursts (token bucket). Not thread safe.
class CallBudget {
public:
    /// The bucket starts full. Precondition: both values are positive.
    CallBudget(double callsPerSecond, double burst);

    /// Takes one call from the budget; false when nothing is left.
    bool take(TimePoint);

private:
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilled {};
};

}
