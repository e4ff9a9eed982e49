#pragma once

#include "base/ids.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheefield {

/// Decides which instance watches the platform's store, and to whom each instance sends news of it.
///
/// All instances rank the fleet alike: by processor cores, most first. The first one watches the store
/// and sends news to its zone and to the first instance of each other zone, which forwards the news
/// within its zone; so news enters each other zone once. Any other instance that had to query the store
/// sends its news to its own zone and to the first instance, which may be cut off from the store and have
/// no other instance in its zone. Does no I/O. Not thread safe.
class NewsDistribution {
public:
    NewsDistribution(InstanceName self, ZoneName zone);

    /// Sets the reachable instances, with or without this one.
    void onPeers(const std::vector<Instance>&);
    /// 0: this instance watches the store. Otherwise its place within its zone, from 1.
    std::uint32_t rank() const;
    /// The instances to which this instance sends what it read from the store.
    std::vector<InstanceName> recipients() const;
    /// The instances of this zone that can be asked for the store's state at a start, in the order in which this
    /// one asks them, which differs between instances. At most maxStateSources.
    std::vector<InstanceName> stateSources() const;
    /// The instances to which this instance forwards news that came from the sender.
    std::vector<InstanceName> recipientsOfNewsFrom(const InstanceName& sender) const;

    /// The instances to which this one repeats what it knows of crashes: those that follow it in the ring of all names. Each instance
    /// hears them from as many others.
    std::vector<InstanceName> crashNewsRecipients() const;

    /// Several, so that failed instances do not break the ring.
    static constexpr std::size_t maxCrashNewsRecipients = 3;
    /// More than one, so that a failed instance does not hold up all that start; few, as the first ones have the most processor.
    static constexpr std::size_t maxStateSources = 4;

private:
    bool isFirstOfFleet() const { return !m_ranked.empty() && m_ranked.front().name == m_self; }
    std::vector<InstanceName> zonePeers() const;

    InstanceName m_self;
    ZoneName m_zone;
    std::vector<Instance> m_ranked;
};

}
