#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/view.h"

#include <map>
#include <optional>

namespace lycheefield {

/// Converts times on other instances' clocks to this one's, without ever making them later than they were.
///
/// A message may lie in a buffer while this process is paused or a link is cut, so its age when it is read is unknown. The offset between
/// two clocks is bounded by a round trip instead: a peer that answers at its time b a call that was sent at the time a here, answered at a
/// or later. So a time P there is never earlier here than P + (a - b). The greatest bound counts; it is lowered as it ages, since clocks may differ in rate.
/// A restarted peer is asked anew. Does no I/O. Not thread safe.
class PeerClocks {
public:
    /// Returns a time on this instance's clock that is not later than the peer's time; empty while the peer's clock is unknown.
    std::optional<TimePoint> toOwn(const InstanceName&, ProcessLife, TimePoint theirs, TimePoint now) const;
    /// Returns whether the peer should be asked for its clock now, and remembers that it is. Ask with a ClockCall sent at `now`.
    bool ask(const InstanceName&, ProcessLife, TimePoint now);
    /// Takes the peer's answer. An answer to anything but the last call is ignored.
    void onAnswer(const InstanceName&, ProcessLife, TimePoint sentAt, TimePoint theirs, TimePoint now);
    /// Forgets the instances that the view does not hold.
    void keepOnly(const MembershipView&);

    /// An unanswered call is repeated after this time.
    static constexpr Duration retryTime = std::chrono::seconds(2);
    /// A known clock is asked for again after this time.
    static constexpr Duration refreshTime = std::chrono::seconds(30);

private:
    struct PeerClock {
        ProcessLife life;
        TimePoint askedAt {};
        bool isAwaited = false; ///< The call sent at askedAt is not answered yet.
        std::optional<Duration> offset; ///< Lower bound of what is to be added to the peer's times.
        TimePoint learnedAt {}; ///< When the call was sent that gave the offset.
    };

    /// Returns the offset, lowered by what the clocks may have drifted apart since it was learned.
    static Duration offsetNow(const PeerClock&, TimePoint now);

    std::map<InstanceName, PeerClock> m_clocks;
};

}
