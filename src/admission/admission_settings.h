#pragma once

#include "base/time.h"
#include "base/units.h"

namespace lycheefield {

using namespace std::chrono_literals;

/// Limits on the admission of teams' requests.
struct AdmissionSettings {
    Duration revocationLimit {}; ///< From the removal of an API key until no instance admits it, in touch with the store or not; zero: as soon as the configuration arrives.
    Duration quotaWindow = 5s; ///< Sliding window in which the admitted requests of a team are counted.
    Share quotaTolerance { 0.1 }; ///< Requests that a window may hold beyond the quota, as a share of it.
    double quotaSlack = 20; ///< Further requests that a window may hold beyond the quota.

    friend bool operator==(const AdmissionSettings&, const AdmissionSettings&) = default;
};

}
