#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheefield {

/// What two instances must agree on when one runs legs of the other's search: a lower number of records would lose
/// records of the answer, and a higher number of runs would send a leg to more servers than its route allows.
struct SearchLimits {
    std::size_t topRecords = 0; ///< Records in the answer.
    std::uint32_t maxRuns = 0; ///< Maximum number of servers that one leg may run on.

    friend bool operator==(const SearchLimits&, const SearchLimits&) = default;
};

}
