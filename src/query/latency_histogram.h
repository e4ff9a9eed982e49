#pragma once

#include "base/time.h"
#include "base/units.h"

#include <array>
#include <cstdint>

namespace lycheefield {

/// Recent latencies of one class of legs, for quantiles. The weight of old samples decays as new ones
/// are added. Bucket widths grow by a constant factor, so quantiles are exact to about 9 %. Not thread safe.
class LatencyHistogram {
public:
    void add(Duration);
    /// Returns the latency below which this share of the recent samples lies; zero without samples.
    Duration quantile(Share) const;
    /// Returns the total weight of the samples; each counts 1 when added and less as it decays.
    double weight() const { return m_weight; }

private:
    static constexpr int bucketsPerDoubling = 8;
    static constexpr int bucketCount = 22 * bucketsPerDoubling; ///< From 64 µs to about 4 minutes.

    static int bucketOf(Duration);
    static double lowerBound(int bucket);
    void decay();

    std::array<float, bucketCount> m_counts {};
    double m_weight = 0;
};

}
