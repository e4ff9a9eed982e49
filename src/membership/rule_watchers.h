#pragma once

#include "membership/view.h"

#include <cstdint>

namespace lycheefield {

/// True when the instance is among the `perZone` instances of its zone that watch the rules in the
/// platform's store. The watchers are chosen by rendezvous hashing, so that a change of the view changes
/// few of them. While views disagree there may be more or fewer watchers, which costs store calls or
/// delay but no safety.
bool watchesRules(const MembershipView&, const InstanceName&, std::uint32_t perZone);

}
