#pragma once

#include "base/time.h"

namespace lycheefield::soak {

inline constexpr Duration settlingTime = std::chrono::seconds(4); ///< Time from the end of a fault until the guarantees with a time bound hold again.
inline constexpr Duration drainLimit = std::chrono::seconds(3); ///< Time from the drain mark after which the server must get no more requests.
inline constexpr Duration applyLimit = std::chrono::seconds(3); ///< Time from publication until a configuration must be in force.
inline constexpr Duration drainCheckTime = std::chrono::milliseconds(1500); ///< For which a server stays drained after drainLimit.
inline constexpr Duration noticedLateness = std::chrono::milliseconds(200); ///< Of the test bed's loop; a gateway waits 800 ms for the store.

}
