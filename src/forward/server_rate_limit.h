#pragma once

#include "base/time.h"

namespace lycheefield {

/// One instance's share of the request rate that a server allows all instances together. Immutable.
struct RateShare {
    double perSecond = 0;
    double burst = 1; ///< Requests that may be sent at once after a pause.
    bool expires = false; ///< Whether an unused permission is lost after a second. So instances that seldom send do not all hold one.

    friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Limits the requests of this instance to one server, while the server advertises a limit. Performs no I/O. Not thread safe.
class ServerRateLimit {
public:
    /// Sets the share, and refills by the earlier one until now. `tokens` is the fill of a new limit.
    /// Precondition: share.perSecond > 0.
    void set(const RateShare&, double tokens, TimePoint now);
    /// Ends the limit: the server advertises none any more.
    void clear() { m_isSet = false; }
    bool isSet() const { return m_isSet; }

    /// Returns the time until a request may be sent; zero when one may be sent now.
    Duration untilAllowed(TimePoint now) const;
    /// Counts a request that is sent now, allowed or not.
    void take(TimePoint now);

private:
    /// Returns the fill; a request needs one token.
    double tokensAt(TimePoint now) const;

    bool m_isSet = false;
    RateShare m_share;
    double m_tokens = 0;
    TimePoint m_filledAt {};
};

}
