#pragma once

#include "membership/view.h"

#include <cstdint>

namespace lycheefield {

/// True when the instance is among the `perZone` instances of its zone that watch the rules in the
/// platform's store. Chosen by rendezvous hashing, so that few change when the view does; while
/// views disagree there may be more or fewer watchers, which costs calls or time but no safety.
bool watchesRules(const MembershipView&, const InstanceName&, std::uint32_t perZone);

}
