#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// A hash that is the same in every process and on every machine.
std::uint64_t stableHash(std::string_view, std::uint64_t seed = 0);

/// Fingerprint of a request: the service it goes to and its body.
Fingerprint fingerprintOf(const ServiceName&, std::string_view body);

}
