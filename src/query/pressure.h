#pragma once

#include "base/units.h"
#include "query/query_settings.h"

#include <cstddef>
#include <vector>

namespace lycheefield {

/// How close the servers of one search are to overload, and how many legs the search sheds.
///
/// The pressure is the share of the spare time before the deadline that the legs would spend
/// queued, averaged over the legs. All shards of a service get the same searches, so their queues
/// grow together, and the mean over many shards is fresher than the last report about one. A single slow
/// shard hardly changes the mean. Immutable.
class Pressure {
public:
    /// Takes the queueing time of each leg as a share of the leg's spare time.
    explicit Pressure(const std::vector<double>& waitShares);

    double value() const { return m_value; }
    /// Returns how many of the legs that the rule can spare the search should shed.
    std::size_t legsToShed(std::size_t spare, const QuerySettings&) const;

private:
    double m_value = 0;
};

}
