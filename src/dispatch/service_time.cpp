#include "dispatch/service_time.h"

namespace lycheefield {

void ServiceTime::add(Duration sample)
{
    ++m_samples;
    if (m_samples == 1) {
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const auto error = sample - m_mean;
    m_mean += error / meanWeight;
    m_deviation += (std::chrono::abs(error) - m_deviation) / deviationWeight;
}

}
