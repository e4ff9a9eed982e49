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

/// How RelayLoad chooses a replica of a shard.
enum class ReplicaChoice {
    Random, ///< A random replica that is neither draining nor ejected.
    Fastest, ///< The replica with the lowest product of latency and load.
    FastestForPriority, ///< As Fastest, but the load leaves out legs of a lower priority.
};

struct ClassFigures {
    std::uint32_t sent = 0;
    std::uint32_t inTime = 0;
    std::vector<double> millis; ///< Latencies of the answered legs, in milliseconds.

    double share() const { return sent == 0 ? 1 : static_cast<double>(inTime) / sent; }
    double quantile(double) const;
};

/// Sends single legs to the shards of a RelayTestBed, with Poisson arrivals, and records their outcomes.
class RelayLoad {
public:
    RelayLoad(RelayTestBed&, std::vector<std::vector<std::string>> replicas, ReplicaChoice);

    /// Sends each leg to a random one of these relays, as entries with different views would.
    void sendToRelays(std::vector<std::string> relays) { m_relays = std::move(relays); }
    /// Schedules the arrivals of a class from now until `until`, without advancing the clock.
    void start(const LoadClass&, TimePoint until);
    /// Clears the figures.
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

    RelayTestBed& m_testBed;
    std::vector<std::vector<std::string>> m_replicas;
    ReplicaChoice m_choice;
    std::vector<std::string> m_relays; ///< Empty: each leg goes to the owner of its server.
    std::map<LegKey, Sent> m_sent;
    std::map<std::string, ServerState> m_states;
    std::map<std::string, std::array<std::uint32_t, 3>> m_outstanding; ///< By priority.
    std::array<ClassFigures, 3> m_figures;
    std::uint64_t m_lastRequest = 0;
};

}
