#pragma once

#include "gateway/state_proof.h"

#include <cstdint>

namespace lycheefield {

/// Tells when the state of one kind of objects is no longer known to be current, and when it is again.
///
/// The state is behind while its latest proof is older than the limit: the store may hold changes that ought to be in force already. Before the first
/// proof the age counts from the start. All times are on the BootClock. Performs no I/O. Not thread safe.
class StateFreshness {
public:
    enum class Change : std::uint8_t {
        None,
        FellBehind,
        CaughtUp,
    };

    /// Precondition: limit > 0.
    StateFreshness(Duration limit, TimePoint startedAt);

    /// Records a proof. One that is older, or of an earlier revision, than what is known takes nothing back; one of a later epoch of the store
    /// replaces what was proven before.
    void record(const StateProof&);
    /// Returns what has changed since the last review.
    Change review(TimePoint now);
    /// Returns the age of the latest proof; zero for a proof that is later than now.
    Duration age(TimePoint now) const;
    Duration limit() const { return m_limit; }
    const StoreRevision& revision() const { return m_known.revision; }

private:
    Duration m_limit;
    StateProof m_known;
    bool m_isBehind = false;
};

}
