#include "dispatch/recent_successes.h"

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration retention = 60s;

}

void RecentSuccesses::add(Fingerprint fingerprint, TimePoint now)
{
    m_slots.at(indexOf(fingerprint)) = { fingerprint, now };
}

bool RecentSuccesses::contains(Fingerprint fingerprint, TimePoint now) const
{
    const auto& slot = m_slots.at(indexOf(fingerprint));
    return slot.at != never && slot.fingerprint == fingerprint && now - slot.at <= retention;
}

void RecentSuccesses::forget(Fingerprint fingerprint)
{
    auto& slot = m_slots.at(indexOf(fingerprint));
    if (slot.fingerprint == fingerprint)
        slot.at = never;
}

}
