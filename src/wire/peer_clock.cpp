#include "wire/peer_clock.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Two clocks drift apart by at most this share of the time: the kernel slews each by 500 ppm at most.
constexpr double maxDrift = 0.001;

}

SendTime PeerClock::onFrame(const std::optional<FrameTimes>& times, TimePoint now)
{
    if (!times)
        return { std::nullopt, now, now };
    if (times->echo)
        learn(*times->echo, times->sentAt, now);
    correct(times->sentAt, now);
    m_latestRead = { times->sentAt, now };
    const auto assumed = m_offset ? std::min(now, times->sentAt + *m_offset + drift(now)) : now;
    return { toOwn(times->sentAt, now), now, assumed };
}

void PeerClock::learn(const FrameEcho& echo, TimePoint theirs, TimePoint now)
{
    const bool isPossible = echo.sentAt <= m_writtenAt && echo.readAt <= theirs;
    if (!isPossible)
        return;
    m_transit = (now - echo.sentAt) - (theirs - echo.readAt);
    const auto learned = echo.sentAt - echo.readAt;
    if (const auto known = offset(now); known && *known > learned - scaled(now - echo.sentAt, maxDrift))
        return;
    m_offset = learned;
    m_learnedAt = echo.sentAt;
}

void PeerClock::correct(TimePoint theirs, TimePoint now)
{
    // Such as when this machine's clock stood still.
    const bool isRefuted = m_offset && theirs + *m_offset - drift(now) > now;
    if (!isRefuted)
        return;
    m_offset = now - theirs;
    m_learnedAt = now;
}

Duration PeerClock::drift(TimePoint now) const
{
    return scaled(now - m_learnedAt, maxDrift);
}

std::optional<Duration> PeerClock::offset(TimePoint now) const
{
    return m_offset ? std::optional(*m_offset - drift(now)) : std::nullopt;
}

std::optional<TimePoint> PeerClock::toOwn(TimePoint theirs, TimePoint now) const
{
    const auto known = offset(now);
    return known ? std::optional(std::min(now, theirs + *known)) : std::nullopt;
}

FrameTimes PeerClock::timesFor(TimePoint now)
{
    m_writtenAt = now;
    if (!m_latestRead || (m_echoed && m_latestRead->readAt - m_echoed->readAt < echoPeriod))
        return { now };
    m_echoed = m_latestRead;
    return { now, m_latestRead };
}

bool PeerClock::needsProbe(TimePoint now) const
{
    const bool isLoose = m_offset && m_transit > looseTransit;
    return now - m_writtenAt >= (isLoose ? looseProbePeriod : probePeriod);
}

}
