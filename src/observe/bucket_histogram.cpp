#include "observe/bucket_histogram.h"

#include <algorithm>

namespace lycheefield {

void BucketHistogram::add(Duration duration)
{
    const auto it = std::lower_bound(bounds.begin(), bounds.end(), duration);
    if (it != bounds.end())
        m_counts[static_cast<std::size_t>(it - bounds.begin())].fetch_add(1, std::memory_order_relaxed);
    m_count.fetch_add(1, std::memory_order_relaxed);
    m_sumMicros.fetch_add(static_cast<std::uint64_t>(std::max<Duration::rep>(0, duration.count())), std::memory_order_relaxed);
}

void BucketHistogram::write(std::ostream& out, const std::string& name) const
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        below += m_counts[i].load(std::memory_order_relaxed);
        out << name << "_bucket{le=\"" << std::chrono::duration<double>(bounds[i]).count() << "\"} " << below << '\n';
    }
    const auto count = m_count.load(std::memory_order_relaxed);
    out << name << "_bucket{le=\"+Inf\"} " << count << '\n';
    out << name << "_sum " << std::chrono::duration<double>(Duration(m_sumMicros.load(std::memory_order_relaxed))).count() << '\n';
    out << name << "_count " << count << '\n';
}

}
