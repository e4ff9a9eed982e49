#pragma once

#include "base/ids.h"
#include "membership/view.h"

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// The instances that the fleet turns to for the quota of a team. Null: there is no such instance.
struct QuotaKeepers {
    const InstanceName* keeper = nullptr;
    const InstanceName* standby = nullptr;

    friend bool operator==(const QuotaKeepers&, const QuotaKeepers&) = default;
};

/// Ranks the instances for each team by rendezvous hashing, weighted by their processor cores. All instances with the same list rank alike.
///
/// Only the instances with the most processor keep quotas, so that each instance soon has an open connection to all that do: a
/// request waits for their answer.
/// A change of the list costs time in proportion to the teams and to the instances that were added or lost. Performs no I/O. Not thread safe.
class QuotaRanking {
public:
    /// Replaces the teams that are ranked.
    void setTeams(const std::vector<TeamName>&);
    /// Replaces the list of instances. Returns false when nothing has changed.
    bool setInstances(const std::vector<Instance>&);

    /// The first two instances for the team; the names stay valid until the next setInstances(). Precondition: the team is ranked.
    QuotaKeepers keepersOf(const TeamName& team) const { return m_keepers.at(team); }
    /// The number of instances that are ranked before this one.
    std::size_t rankOf(const TeamName&, const InstanceName&) const;
    /// Returns the instances that may keep quotas.
    std::set<InstanceName> candidates() const;
    /// Returns how many of that number of instances keep quotas.
    static std::size_t keepersAmong(std::size_t instances);
    bool contains(const InstanceName& name) const { return m_weights.contains(name); }
    std::size_t instances() const { return m_weights.size(); }

private:
    using Weights = std::map<InstanceName, double>;

    static Weights candidatesOf(const Weights&);
    double score(const TeamName&, const Weights::value_type&) const;
    /// Replaces the instances that may keep quotas, and ranks the teams again that this concerns.
    void setCandidates(const Weights&);
    void rank(const TeamName&, QuotaKeepers&) const;
    void place(const TeamName&, const Weights::value_type&, QuotaKeepers&) const;

    Weights m_weights; ///< Of all instances.
    Weights m_candidates; ///< Of those that may keep quotas.
    std::unordered_map<TeamName, QuotaKeepers> m_keepers;
};

}
