#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace lycheefield {

/// A revision of the platform's store.
///
/// The store counts its changes. When it comes back from an older copy it gives revision numbers out again, in a later epoch; so a
/// number alone doesn't identify a state. Every revision of a later epoch is later than all those of earlier ones.
struct StoreRevision {
    std::uint64_t epoch = 0; ///< 0: the store names no epochs.
    std::uint64_t number = 0;

    friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StoreRevision& it) { return out << it.epoch << '.' << it.number; }
};

}
