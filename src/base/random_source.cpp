#include "base/random_source.h"

namespace lycheefield {

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    return next() % bound;
}

double RandomSource::unit()
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(next() >> (64 - mantissaBits)) / static_cast<double>(std::uint64_t(1) << mantissaBits);
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}
