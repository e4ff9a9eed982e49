#include "membership/rule_watchers.h"

#include "base/fingerprint.h"

namespace lycheefield {

namespace {

std::uint64_t scoreOf(const InstanceName& name)
{
    constexpr std::uint64_t seed = 0x72756c6573; // Differs from the seeds by which blocks are owned.
    return stableHash(name.value(), seed);
}

}

bool watchesRules(const MembershipView& view, const InstanceName& name, std::uint32_t perZone)
{
    const auto* self = view.find(name);
    if (!self || !self->canOwn())
        return false;
    const auto score = scoreOf(name);
    std::uint32_t better = 0;
    for (const auto& [other, instance] : view.instances()) {
        if (instance.zone == self->zone && instance.health == InstanceHealth::Alive && scoreOf(other) > score)
            ++better;
    }
    return better < perZone;
}

}
