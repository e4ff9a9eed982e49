#pragma once

#include "base/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <ostream>
#include <string>

namespace lycheefield {

/// Prometheus histogram of durations. The buckets are fixed, so that a dashboard can sum the histograms of several instances.
/// Thread safe and lock free.
class BucketHistogram {
public:
    /// Upper bounds of the buckets. A longer duration counts only in the total.
    static constexpr std::array<Duration, 14> bounds { Duration(1'000), Duration(2'000), Duration(5'000), Duration(10'000), Duration(20'000), Duration(50'000),
        Duration(75'000), Duration(100'000), Duration(150'000), Duration(200'000), Duration(500'000), Duration(1'000'000), Duration(2'000'000), Duration(5'000'000) };

    void add(Duration);
    /// Writes the histogram in the Prometheus text format, in seconds.
    void write(std::ostream&, const std::string& name) const;

private:
    std::array<std::atomic<std::uint64_t>, bounds.size()> m_counts {};
    std::atomic<std::uint64_t> m_count { 0 };
    std::atomic<std::uint64_t> m_sumMicros { 0 };
};

}
