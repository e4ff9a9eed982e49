#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/view.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// Shards of one search that have a server in each zone.
struct ZoneCoverage {
    ZoneName zone;
    std::size_t shards = 0;

    friend bool operator==(const ZoneCoverage&, const ZoneCoverage&) = default;
};

/// Where some shards of a search are asked for.
struct DelegateChoice {
    InstanceName instance;
    ZoneName zone;

    friend bool operator==(const DelegateChoice&, const DelegateChoice&) = default;
};

/// Some legs of a search that are asked for together. All instances cut a search alike, so that the
/// same few instances of a zone ask the same servers.
struct LegGroup {
    std::size_t index = 0;
    std::size_t count = 1; ///< Groups that the search is cut into.

    friend bool operator==(const LegGroup&, const LegGroup&) = default;
    friend auto operator<=>(const LegGroup&, const LegGroup&) = default;
};

/// Decides which instances are asked for shards of a search.
///
/// For shards without a server in this zone: sent from here, every part of theirs would cross
/// between the zones. An instance next to their servers merges the parts, and one answer crosses; it
/// takes no longer, as the parts would have crossed too. For shards of this zone when there are more
/// than one instance can send in time: each group of them has a few instances, more likely those
/// with more processor, whose connections stay in use. An instance that does not confirm at once is
/// left for a while. It does no I/O. Not thread safe.
class DelegateChooser {
public:
    /// For fewer shards a message to another instance saves too little.
    static constexpr std::size_t minShards = 3;

    DelegateChooser(InstanceName self, ZoneName zone);

    /// The instances that can be reached, this one among them or not.
    void onPeers(const std::vector<Instance>&);
    /// Zones of the instances that can be asked.
    std::vector<ZoneName> zones() const;

    /// The instance to ask, in a zone that has servers of the most of those shards; empty when they
    /// are better asked for from here.
    std::optional<DelegateChoice> choose(const std::vector<ZoneCoverage>&, TimePoint);
    /// The instance to ask for a group of legs in that zone; this instance when the group is its own,
    /// empty when none can be asked.
    std::optional<InstanceName> instanceFor(const ZoneName&, const LegGroup&, TimePoint);
    const InstanceName& self() const { return m_self; }

    /// It confirmed a call after that time.
    void recordConfirmation(const InstanceName&, Duration roundTrip);
    /// It did not confirm a call, or its connection broke.
    void recordNoConfirmation(const InstanceName&, TimePoint);
    /// It declined: it stops, or has another configuration.
    void recordDecline(const InstanceName&, TimePoint);

    /// How long it may take to confirm before it counts as silent.
    Duration confirmationTimeout(const InstanceName&) const;
    /// How long its answer is on its way.
    Duration returnTime(const InstanceName&) const;

private:
    struct Peer {
        ZoneName zone;
        ProcessLife life;
        double cores = 1;
        Duration roundTrip {}; ///< Moving average; zero: not known.
        TimePoint avoidUntil {};
        std::uint32_t silences = 0; ///< In a row.
    };

    /// Instances of the zone, the likeliest first.
    const std::vector<InstanceName>& rankedFor(const ZoneName&, const LegGroup&);
    bool canBeAsked(const InstanceName&, TimePoint) const;

    InstanceName m_self;
    ZoneName m_zone;
    std::map<std::pair<ZoneName, LegGroup>, std::vector<InstanceName>> m_ranked; ///< Until the instances change.
    double m_ownCores = 1;
    std::map<InstanceName, Peer> m_peers;
    std::uint64_t m_turn = 0;
};

}
