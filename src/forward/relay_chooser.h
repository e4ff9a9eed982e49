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
struct RelayChoice {
    InstanceName instance;
    ZoneName zone;

    friend bool operator==(const RelayChoice&, const RelayChoice&) = default;
};

/// Decides which instance is asked for the shards of a search that have no server in this zone.
///
/// Sent from here, every part of theirs would cross between the zones. An instance next to their
/// servers merges the parts, and one answer crosses; it takes no longer, as the parts would have
/// crossed too. An instance that does not confirm at once is left for a while. It does no I/O. Not
/// thread safe.
class RelayChooser {
public:
    explicit RelayChooser(InstanceName self);

    /// The instances that can be reached, this one among them or not.
    void onPeers(const std::vector<Instance>&);
    /// Zones of the instances that can be asked.
    std::vector<ZoneName> zones() const;

    /// The instance to ask, in a zone that has servers of the most of those shards; empty when they
    /// are better asked for from here.
    std::optional<RelayChoice> choose(const std::vector<ZoneCoverage>&, TimePoint);

    /// It confirmed a call after that time.
    void noteReceipt(const InstanceName&, Duration roundTrip);
    /// It did not confirm a call, or its connection broke.
    void noteSilence(const InstanceName&, TimePoint);
    /// It declined: it stops, or has another configuration.
    void noteDeclined(const InstanceName&, TimePoint);

    /// How long it may take to confirm before it counts as silent.
    Duration receiptTimeout(const InstanceName&) const;
    /// How long its answer is on its way.
    Duration wayBack(const InstanceName&) const;

private:
    struct Peer {
        ZoneName zone;
        ProcessLife life;
        Duration roundTrip {}; ///< Moving average; zero: not known.
        TimePoint avoidUntil {};
        std::uint32_t silences = 0; ///< In a row.
    };

    InstanceName m_self;
    std::map<InstanceName, Peer> m_peers;
    std::uint64_t m_turn = 0;
};

}
