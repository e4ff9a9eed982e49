#pragma once

#include "base/time.h"

#include <atomic>
#include <string>

namespace lycheefield {

/// Tells whether the configuration in force is recent enough to admit callers by their API keys.
///
/// A proof is a call to the store whose response shows that nothing later than the known configuration existed when the call was
/// sent; its age counts from that sending. A key whose removal was acknowledged before the call is not in the known configuration. So a request that
/// is admitted while the proof is younger than the limit was sent by its caller within the limit after any removal that is not known here, and it may
/// run whenever its attempts are sent. All times are on the BootClock, which runs on while the process is paused. Thread safe.
class ConfigurationFreshness {
public:
    /// Limit zero: the configuration is always fresh.
    explicit ConfigurationFreshness(Duration limit);

    bool isLimited() const { return m_limit > Duration {}; }
    /// Records that the configuration in force was the latest one when a call was sent at that time. The epoch is no proof.
    void confirm(TimePoint sentAt);
    bool isFresh(TimePoint now) const { return now < freshUntil(); }
    /// Returns the time from which on no key may be admitted, unless another proof comes; `never` without a limit.
    TimePoint freshUntil() const;
    /// Returns the age of the latest proof; Duration::max() when there was none.
    Duration age(TimePoint now) const;
    /// Returns the age in whole milliseconds, for logs; "none" when there was no proof.
    std::string ageText(TimePoint now) const;

private:
    Duration m_limit;
    std::atomic<TimePoint> m_confirmedAt { TimePoint {} };
};

}
