#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// Exponentially smoothed estimate of the time that a leg spends at one server. Not thread safe.
class ServiceTime {
public:
    void add(Duration);

    /// Zero until the first sample.
    Duration mean() const { return m_mean; }
    /// A time that few legs exceed: the mean plus deviationsInHighEstimate mean deviations.
    Duration highEstimate() const { return m_mean + m_deviation * deviationsInHighEstimate; }
    std::uint64_t samples() const { return m_samples; }
    void reset() { *this = {}; }

private:
    // The newest sample weighs 1 / weight.
    static constexpr int meanWeight = 8;
    static constexpr int deviationWeight = 4;
    static constexpr int deviationsInHighEstimate = 2;

    Duration m_mean {};
    Duration m_deviation {};
    std::uint64_t m_samples = 0;
};

}
