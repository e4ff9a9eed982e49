#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace lycheefield {

/// Hash that is identical in every process and on every machine, so that instances can compare hashes.
std::uint64_t stableHash(std::string_view, std::uint64_t seed = 0);

/// Fingerprint of a request's content: its service and its body.
Fingerprint fingerprintOf(const ServiceName&, std::string_view body);

}
