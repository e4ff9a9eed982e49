#include "forward/service_waits.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint32_t minSamples = 10;
constexpr double sampleWeight = 0.1;
constexpr double delayWeight = 0.1;
/// A leg that waited many times as long as expected says little about the next one.
constexpr double maxDelayFactor = 8;
/// An estimate without a response for so long says nothing about the servers of now.
constexpr Duration maxSampleAge = std::chrono::seconds(2);

}

void ServiceWaits::recordSent(const ServiceName& service)
{
    ++m_services[service].inFlight;
}

void ServiceWaits::recordEnd(const ServiceName& service)
{
    const auto it = m_services.find(service);
    if (it != m_services.end() && it->second.inFlight > 0)
        --it->second.inFlight;
}

void ServiceWaits::recordServed(const ServiceName& service, Duration time, TimePoint now)
{
    auto& it = m_services[service];
    if (now - it.lastAt > maxSampleAge)
        it.samples = 0;
    const auto micros = static_cast<double>(time.count());
    const auto weight = std::max(sampleWeight, 1.0 / (it.samples + 1));
    it.meanMicros += weight * (micros - it.meanMicros);
    it.samples = std::min(it.samples + 1, minSamples);
    it.lastAt = now;
}

void ServiceWaits::recordWait(const ServiceName& service, const LegPriority& priority, Duration expectedWait, Duration wait, TimePoint now)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || expectedWait <= Duration {})
        return;
    auto& delay = it->second.delays[priority];
    if (now - delay.lastAt > maxSampleAge)
        delay.factor = 1;
    const auto factor = static_cast<double>(wait.count()) / static_cast<double>(expectedWait.count());
    delay.factor += delayWeight * (std::clamp(factor, 1.0, maxDelayFactor) - delay.factor);
    delay.lastAt = now;
}

Duration ServiceWaits::expectedWait(const ServiceName& service, std::size_t ahead, TimePoint now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    const auto& known = it->second;
    if (known.samples < minSamples || known.inFlight == 0 || now - known.lastAt > maxSampleAge)
        return {};
    return Duration(static_cast<Duration::rep>(known.meanMicros * static_cast<double>(ahead) / known.inFlight));
}

std::optional<Duration> ServiceWaits::expected(const ServiceName& service, const LegPriority& priority, std::size_t ahead, TimePoint now) const
{
    const auto wait = expectedWait(service, ahead, now);
    if (wait == Duration {})
        return std::nullopt;
    const auto& known = m_services.at(service);
    const auto delay = known.delays.find(priority);
    const bool isKnown = delay != known.delays.end() && now - delay->second.lastAt <= maxSampleAge;
    return scaled(wait, isKnown ? delay->second.factor : 1) + Duration(static_cast<Duration::rep>(known.meanMicros));
}

void ServiceWaits::keepOnly(const std::function<bool(const ServiceName&)>& isWanted)
{
    std::erase_if(m_services, [&](const auto& it) { return it.second.inFlight == 0 && !isWanted(it.first); });
}

}
