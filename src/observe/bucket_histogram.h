#pragma once

#include "base/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <ostream>
#include <string>

namespace lycheefield {

/// Counts durations in fixed buckets, for a Prometheus histogram that can be summed over instances.
/// Thread safe and lock free.
class BucketHistogram {
public:
    /// Upper bounds of the buckets; what is longer only counts in the total.
    static constexpr std::array<Duration, 14> bounds { Duration(1'000), Duration(2'000), Duration(5'000), Duration(10'000), Duration(20'000), Duration(50'000),
        Duration(75'000), Duration(100'000), Duration(150'000), Duration(200'000), Duration(500'000), Duration(1'000'000), Duration(2'000'000), Duration(5'000'000) };

    void add(Duration);
    /// Writes the metric in Prometheus' text format, in seconds.
    void write(std::ostream&, const std::string& name) const;

private:
    std::array<std::atomic<std::uint64_t>, bounds.size()> m_counts {};
    std::atomic<std::uint64_t> m_count { 0 };
    std::atomic<std::uint64_t> m_sumMicros { 0 };
};

}
