#include "membership/rule_watchers.h"

#include "base/fingerprint.h"

namespace lycheefield {

namespace {

std::uint64_t scoreOf(const InstanceName& name)
{
    constexpr std::uint64_t hashSeed = 0x72756c6573; // "rules" in ASCII; differs from the seeds of block ownership.
    return stableHash(name.value(), hashSeed);
}

}

bool watchesRules(const MembershipView& view, const InstanceName& name, std::uint32_t perZone)
{
    const auto* self = view.find(name);
    if (!self || !self->canOwn())
        return false;
    const auto score = scoreOf(name);
    std::uint32_t higherRanked = 0;
    for (const auto& [other, instance] : view.instances()) {
        if (instance.zone == self->zone && instance.health == InstanceHealth::Alive && scoreOf(other) > score)
            ++higherRanked;
    }
    return higherRanked < perZone;
}

}
