#pragma once

#include "base/time.h"
#include "base/units.h"

#include <array>
#include <cstdint>

namespace lycheefield {

/// Recent latencies of one class of legs, for quantiles. Old samples fade as new ones come.
/// Buckets grow by a constant factor, so a quantile is exact to about 9 %. Not thread safe.
class LatencyHistogram {
public:
    void add(Duration);
    /// The latency that this share of the recent samples stayed below; zero without samples.
    Duration quantile(Share) const;
    /// Samples seen, faded ones in part.
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
