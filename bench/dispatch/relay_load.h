#pragma once

#include "dispatch/relay_test_bed.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace lycheefield::bench {

/// One class of requests in an open-loop load.
struct LoadClass {
    Priority priority = Priority::Desk;
    double perSecond = 0;
    Duration budget = 200ms;
};

/// How the load picks a replica of a shard.
enum class ReplicaChoice {
    Random, ///< Any that is neither draining nor ejected.
    Fastest, ///< The one with the least latency times load.
    FastestForPriority, ///< As Fastest, with a load that leaves out what has a lower priority.
};

struct ClassFigures {
    std::uint32_t sent = 0;
    std::uint32_t inTime = 0;
    std::vector<double> millis; ///< Of those answered.

    double share() const { return sent == 0 ? 1 : static_cast<double>(inTime) / sent; }
    double quantile(double) const;
};

/// Poisson arrivals of single legs over the shards of a RelayTestBed, and what became of them.
class RelayLoad {
public:
    RelayLoad(RelayTestBed&, std::vector<std::vector<std::string>> replicas, ReplicaChoice);

    /// Sends to any of these relays, as if entries with different views did.
    void spread(std::vector<std::string> relays) { m_relays = std::move(relays); }
    /// Sends the class from now until the time; runs nothing yet.
    void start(const LoadClass&, TimePoint until);
    /// Figures of what was sent from now on.
    void reset() { m_figures = {}; }
    const ClassFigures& of(Priority priority) const { return m_figures.at(static_cast<std::size_t>(priority)); }

private:
    struct Sent {
        TimePoint at;
        TimePoint deadline;
        Priority priority = Priority::Desk;
        bool isCounted = true;
    };

    void arrive(const LoadClass&, TimePoint until);
    std::string choose(Priority);
    double loadOf(const std::string& server, Priority) const;
    void onResult(const LegResult&);

    RelayTestBed& m_world;
    std::vector<std::vector<std::string>> m_replicas;
    ReplicaChoice m_choice;
    std::vector<std::string> m_relays; ///< Empty: the owner.
    std::map<LegKey, Sent> m_sent;
    std::map<std::string, ServerState> m_states;
    std::map<std::string, std::array<std::uint32_t, 3>> m_outstanding; ///< By priority.
    std::array<ClassFigures, 3> m_figures;
    std::uint64_t m_lastRequest = 0;
};

}
