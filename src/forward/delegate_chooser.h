#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/view.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// The number of a search's shards that have a server in one zone.
struct ZoneCoverage {
    ZoneName zone;
    std::size_t shards = 0;

    friend bool operator==(const ZoneCoverage&, const ZoneCoverage&) = default;
};

/// The instance that some shards of a search are delegated to, and its zone.
struct DelegateChoice {
    InstanceName instance;
    ZoneName zone;

    friend bool operator==(const DelegateChoice&, const DelegateChoice&) = default;
};

/// A group of legs that is delegated as a whole. All instances divide a search in the same way, so
/// that the same few instances of a zone send to the same servers.
struct LegGroup {
    std::size_t index = 0;
    std::size_t count = 1; ///< Groups that the search is divided into.

    friend bool operator==(const LegGroup&, const LegGroup&) = default;
    friend auto operator<=>(const LegGroup&, const LegGroup&) = default;
};

/// Chooses the instances that shards of a search are delegated to.
///
/// Shards without a server in this zone are delegated to an instance in the zone of their servers.
/// That instance merges the parts, so that one answer crosses the zone boundary instead of every part;
/// this takes no longer, because the parts would have to cross as well.
/// Shards of this zone are delegated in groups when one instance can't send all legs in time. Each
/// group is served by a few instances, preferably those with more processor, so that their
/// connections stay in use.
/// An instance that does not confirm a delegation in time is avoided for a while. Performs no I/O.
/// Not thread safe.
class DelegateChooser {
public:
    /// Delegating fewer shards saves less than the message to the other instance costs.
    static constexpr std::size_t minShards = 3;

    DelegateChooser(InstanceName self, ZoneName zone);

    /// Replaces the list of reachable instances, which may include this one.
    void onPeers(const std::vector<Instance>&);
    /// Returns the zones of the other instances.
    std::vector<ZoneName> zones() const;

    /// Returns the shortest round trip to an instance in the zone; zero while unknown.
    Duration networkTimeTo(const ZoneName&) const;

    /// Returns an instance in the zone that has servers of the most shards; empty when this instance
    /// should send the legs itself.
    std::optional<DelegateChoice> choose(const std::vector<ZoneCoverage>&, TimePoint);
    /// Returns the instance that sends a group of legs in that zone, which may be this instance; empty
    /// when none is available.
    std::optional<InstanceName> instanceFor(const ZoneName&, const LegGroup&, TimePoint);
    const InstanceName& self() const { return m_self; }

    /// Records that the instance confirmed a delegation after that round trip.
    void recordConfirmation(const InstanceName&, Duration roundTrip);
    /// Records that the instance did not confirm a delegation, or that its connection broke.
    void recordNoConfirmation(const InstanceName&, TimePoint);
    /// Records that the instance declined, because it is stopping or has another configuration.
    void recordDecline(const InstanceName&, TimePoint);

    /// Returns the time within which the instance must confirm a delegation.
    Duration confirmationTimeout(const InstanceName&) const;
    /// Returns the time that the instance's answer takes to arrive here.
    Duration returnTime(const InstanceName&) const;

private:
    struct Peer {
        ZoneName zone;
        ProcessLife life;
        double cores = 1;
        Duration roundTrip {}; ///< Moving average; zero while unknown.
        TimePoint avoidUntil {};
        std::uint32_t missedConfirmations = 0; ///< Since the last confirmation.
    };

    /// Returns the instances of the zone in order of preference for the group.
    const std::vector<InstanceName>& rankedFor(const ZoneName&, const LegGroup&);
    bool mayDelegateTo(const InstanceName&, TimePoint) const;

    InstanceName m_self;
    ZoneName m_zone;
    std::map<std::pair<ZoneName, LegGroup>, std::vector<InstanceName>> m_ranked; ///< Cached until the instances change.
    double m_ownCores = 1;
    std::map<InstanceName, Peer> m_peers;
    std::uint64_t m_turn = 0;
};

}
