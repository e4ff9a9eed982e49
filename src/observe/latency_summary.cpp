#include "observe/latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <mutex>

namespace lycheefield {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 6> probabilities { 0.25, 0.5, 0.75, 0.9, 0.99, 0.999 };

using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

Duration asDuration(double n)
{
    return Duration(static_cast<Duration::rep>(n));
}

}

struct LatencySummary::State {
    mutable std::mutex mutex;
    Accumulator accumulator { acc::extended_p_square_probabilities = probabilities };
};

LatencySummary::LatencySummary()
    : m_state(std::make_unique<State>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::add(Duration duration)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->accumulator(static_cast<double>(duration.count()));
}

LatencySummary::Values LatencySummary::values() const
{
    const std::lock_guard lock(m_state->mutex);
    const auto& accumulator = m_state->accumulator;
    Values values;
    values.count = acc::count(accumulator);
    if (!values.count)
        return values;
    const auto at = [&](double p) { return asDuration(acc::quantile(accumulator, acc::quantile_probability = p)); };
    values.sum = asDuration(acc::sum(accumulator));
    values.p50 = at(0.5);
    values.p90 = at(0.9);
    values.p99 = at(0.99);
    values.p999 = at(0.999);
    return values;
}

}
