#pragma once

#include <chrono>
#include <cstdint>

namespace lycheefield {

/// Resolution of all times in the project. Literals such as 5ms convert to Duration without loss.
using Duration = std::chrono::microseconds;

/// Time base of Clock: monotonic, with an origin that has no meaning outside the process.
struct ProcessTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessTime, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard requires this name.
};

using TimePoint = ProcessTime::time_point;

/// Multiplies the duration by the factor; truncates to whole microseconds.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Later than every event; stands for "no timer set".
constexpr TimePoint never = TimePoint::max();

}
