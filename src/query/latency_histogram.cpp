#include "query/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace lycheefield {

namespace {

constexpr double minMicros = 64;
constexpr double decayAtWeight = 4096;

}

int LatencyHistogram::bucketOf(Duration latency)
{
    const auto micros = std::max(minMicros, static_cast<double>(latency.count()));
    const auto bucket = static_cast<int>(std::log2(micros / minMicros) * bucketsPerDoubling);
    return std::min(bucket, bucketCount - 1);
}

double LatencyHistogram::lowerBound(int bucket)
{
    return minMicros * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
}

void LatencyHistogram::add(Duration latency)
{
    m_counts[static_cast<std::size_t>(bucketOf(latency))] += 1;
    m_weight += 1;
    if (m_weight >= decayAtWeight)
        decay();
}

void LatencyHistogram::decay()
{
    m_weight = 0;
    for (auto& it : m_counts) {
        it /= 2;
        m_weight += it;
    }
}

Duration LatencyHistogram::quantile(Share share) const
{
    const double target = share.value * m_weight;
    double below = 0;
    for (int i = 0; i < bucketCount; ++i) {
        const double count = m_counts[static_cast<std::size_t>(i)];
        if (count > 0 && below + count >= target) {
            const double part = (target - below) / count;
            const double micros = lowerBound(i) + part * (lowerBound(i + 1) - lowerBound(i));
            return Duration(static_cast<std::int64_t>(micros));
        }
        below += count;
    }
    return {};
}

}
