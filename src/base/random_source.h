#pragma once

#include <cstdint>
#include <random>

namespace lycheefield {

/// Source of random numbers that a test can seed. Not thread safe: each decision object owns its source.
class RandomSource {
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;

    /// Uniform in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound);
    /// Uniform in [0, 1).
    double unit();
};

/// Pseudo-random generator; a seed gives the same sequence on every platform.
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/// Returns a 64-bit seed from the operating system's entropy source.
std::uint64_t systemSeed();

}
