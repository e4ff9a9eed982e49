#pragma once

#include "admission/instance_listing.h"

#include <chrono>

namespace lycheefield {

/// A latest and settled list of these instances, one of which has asked for it. Later ones have higher revisions.
inline InstanceListing latestListing(const std::vector<Instance>& instances, TimePoint askedAt)
{
    const auto revision = static_cast<std::uint64_t>(askedAt.time_since_epoch().count());
    return { instances, { 1, revision }, true, true, true, askedAt, askedAt + std::chrono::minutes(3) };
}

}
