#include "membership/rendezvous.h"

#include <cmath>

namespace lycheefield {

double rendezvousScore(std::uint64_t hash, double weight)
{
    constexpr double hashes = 18446744073709551616.0;
    const auto uniform = (static_cast<double>(hash) + 1) / (hashes + 2);
    return -weight / std::log(uniform);
}

}
