#pragma once

#include "admission/admission_settings.h"
#include "routing/team_directory.h"

#include <cstdint>

namespace lycheefield {

/// How the requests that a team's quota allows in one window, with tolerance and slack, are divided among those who may admit them.
///
/// The sum of the parts stays within what the window may hold, so that all of them may be used at once. Immutable.
struct QuotaLimits {
    double ratePerSecond = 0; ///< Of the keeper's bucket.
    double capacity = 0; ///< Of the keeper's bucket, in permits.
    double burst = 0; ///< The burst of the quota.
    double ahead = 0; ///< Unused permits that instances may hold beyond the keeper's bucket.
    double standbyRatePerSecond = 0; ///< Of the standby's bucket.
    double standbyCapacity = 0; ///< Of the standby's bucket; below 1: the standby grants nothing.
    double ownPermits = 0; ///< Permits that all instances without a keeper together may use in one window.

    friend bool operator==(const QuotaLimits&, const QuotaLimits&) = default;
};

/// Precondition: the team has a quota.
QuotaLimits quotaLimitsOf(const Team&, const AdmissionSettings&);

}
