#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/server_entry.h"
#include "forward/server_rate_limit.h"
#include "membership/view.h"

#include <cstdint>
#include <set>
#include <vector>

namespace lycheefield {

/// Where the servers of a service are, and who sends requests to them. Immutable.
struct ServiceReach {
    std::set<ZoneName> zones; ///< Zones that have servers of the service.
    bool isDirect = false; ///< Whether single requests go to the service; the legs of searches are delegated to a zone of its servers.

    friend bool operator==(const ServiceReach&, const ServiceReach&) = default;
};

/// Divides the request rate that a server allows among the instances, without messages between them.
///
/// Each instance computes its own share from what all know alike: the list of instances, the servers and the routes. The
/// instances that send to the server, which are those of its zone and, for single requests, those of zones without
/// such a server, have equal shares of most of the rate. If they are too many for a useful share each, as many as the rate
/// allows are drawn by a hash of the server and the instance. All instances together have the rest, so that one
/// that seldom sends still learns when the limit ends. A stopped instance is counted until the list drops it;
/// the others then use less than the server allows. A starting instance uses half of its share until the others count it.
/// Performs no I/O. Not thread safe.
class LimitSharing {
public:
    LimitSharing(InstanceName self, ZoneName zone);

    /// Sets the instances of the fleet, with or without this one.
    void setInstances(const std::vector<Instance>&, TimePoint now);
    /// Returns this instance's share of the limit, in requests per second, that the server advertises.
    /// Precondition: limit >= 0 and finite.
    RateShare shareOf(const ServerEntry&, double limit, const ServiceReach&, TimePoint now) const;
    /// Returns when a share changes although the instances stay the same; `never` when it does not.
    TimePoint nextChange(TimePoint now) const;

private:
    /// Returns the instances that send to the server.
    std::vector<InstanceName> senders(const ServerEntry&, const ServiceReach&) const;
    bool isStarting(TimePoint now) const;

    InstanceName m_self;
    ZoneName m_zone;
    std::vector<std::pair<InstanceName, ZoneName>> m_instances; ///< With this one; empty until the fleet is known.
    TimePoint m_knownSince = never;
};

}
