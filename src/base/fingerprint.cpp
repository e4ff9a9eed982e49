#include "base/fingerprint.h"

#include <xxhash.h>

namespace lycheefield {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Fingerprint fingerprintOf(const ServiceName& service, std::string_view body)
{
    return Fingerprint(stableHash(body, stableHash(service.value())));
}

}
