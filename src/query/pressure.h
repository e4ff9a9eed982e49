#pragma once

#include "base/units.h"
#include "query/query_settings.h"

#include <cstddef>
#include <vector>

namespace lycheefield {

/// How near the servers of one search are to overload, and what follows of it.
///
/// The pressure is the share of the time to spare before the deadline that the legs would spend
/// waiting, as a mean over the legs: all shards of a service get the same searches, so their queues
/// grow together, and a mean over many is fresher than the last word about one. A single slow shard hardly
/// moves it. Immutable.
class Pressure {
public:
    /// The waits of the legs, each as a share of its time to spare.
    explicit Pressure(const std::vector<double>& waitShares);

    double value() const { return m_value; }
    /// How many of the legs that a rule can spare the search should give up.
    std::size_t legsToShed(std::size_t spare, const QuerySettings&) const;

private:
    double m_value = 0;
};

}
