#pragma once

#include <compare>
#include <cstdint>

namespace lycheefield {

/// Share of a whole, from 0 to 1.
struct Share {
    double value = 0;
    friend auto operator<=>(const Share&, const Share&) = default;
};

constexpr Share percent(double n)
{
    return Share { n / 100 };
}

struct ByteCount {
    std::uint64_t value = 0;
    friend auto operator<=>(const ByteCount&, const ByteCount&) = default;
};

constexpr ByteCount kibibytes(std::uint64_t n)
{
    return ByteCount { n * 1024 };
}

constexpr ByteCount mebibytes(std::uint64_t n)
{
    return ByteCount { n * 1024 * 1024 };
}

}
