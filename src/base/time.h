#pragma once

#include <chrono>
#include <cstdint>

namespace lycheefield {

/// The library's resolution of time. Literals such as 5ms convert to it without loss.
using Duration = std::chrono::microseconds;

/// The time line of Clock. It never goes back, and its origin means nothing outside the process.
struct ProcessTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessTime, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard asks for this name.
};

using TimePoint = ProcessTime::time_point;

/// That many times the duration, to the microsecond below.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Later than every event: "no timer set".
constexpr TimePoint never = TimePoint::max();

}
