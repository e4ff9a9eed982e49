#include "membership/peer_clocks.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Two clocks drift apart by at most this share of the time: the kernel slews each by 500 ppm at most.
constexpr double maxDrift = 0.001;

}

Duration PeerClocks::offsetNow(const PeerClock& clock, TimePoint now)
{
    return *clock.offset - scaled(now - clock.learnedAt, maxDrift);
}

std::optional<TimePoint> PeerClocks::toOwn(const InstanceName& peer, ProcessLife life, TimePoint theirs, TimePoint now) const
{
    const auto it = m_clocks.find(peer);
    if (it == m_clocks.end() || it->second.life != life || !it->second.offset)
        return std::nullopt;
    return std::min(now, theirs + offsetNow(it->second, now));
}

bool PeerClocks::ask(const InstanceName& peer, ProcessLife life, TimePoint now)
{
    auto& clock = m_clocks[peer];
    if (clock.life != life)
        clock = { life, {}, false, std::nullopt, {} };
    const auto pause = clock.isAwaited ? retryTime : refreshTime;
    const bool isFirst = !clock.isAwaited && !clock.offset;
    if (!isFirst && now - clock.askedAt < pause)
        return false;
    clock.askedAt = now;
    clock.isAwaited = true;
    return true;
}

void PeerClocks::onAnswer(const InstanceName& peer, ProcessLife life, TimePoint sentAt, TimePoint theirs, TimePoint now)
{
    const auto it = m_clocks.find(peer);
    if (it == m_clocks.end())
        return;
    auto& clock = it->second;
    if (clock.life != life || !clock.isAwaited || clock.askedAt != sentAt)
        return;
    clock.isAwaited = false;
    const auto offset = sentAt - theirs;
    if (clock.offset && offsetNow(clock, now) > offset - scaled(now - sentAt, maxDrift))
        return;
    clock.offset = offset;
    clock.learnedAt = sentAt;
}

void PeerClocks::keepOnly(const MembershipView& view)
{
    std::erase_if(m_clocks, [&](const auto& entry) { return !view.find(entry.first); });
}

}
