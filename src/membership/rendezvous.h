#pragma once

#include <cstdint>

namespace lycheefield {

/// Weighted rendezvous hashing: of several candidates with independent hashes, each one has the highest score with a probability
/// proportional to its weight. Precondition: weight > 0.
double rendezvousScore(std::uint64_t hash, double weight);

}
