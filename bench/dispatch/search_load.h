#pragma once

#include "dispatch/relay_test_bed.h"
#include "query/query_engine.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield::bench {

/// The shape of a run of searches: entries and relays with their real decision code in one virtual time.
struct SearchShape {
    std::uint32_t instances = 9;
    std::uint32_t shards = 20;
    std::uint64_t seed = 1;
    Duration serviceTime = 20ms;
    QuerySettings entrySettings;
    RelaySettings relaySettings;
};

/// What became of the searches of one priority.
struct SearchFigures {
    std::uint32_t sent = 0;
    std::uint32_t complete = 0;
    std::uint32_t partial = 0; ///< Answered in time with enough of the shards.
    std::uint32_t notAdmitted = 0; ///< Refused and not run.

    double answered() const { return sent == 0 ? 1 : static_cast<double>(complete + partial) / sent; }
};

/// Poisson arrivals of searches at entries, whose legs go to the relays of a RelayTestBed.
class SearchLoad {
public:
    explicit SearchLoad(const SearchShape&);

    /// Sends searches of a rule from now until the time; runs nothing yet.
    void start(const std::string& path, double perSecond, TimePoint until);
    void runUntil(TimePoint time) { m_world.runUntil(time); }
    TimePoint now() const { return m_world.now(); }
    const SearchFigures& of(const std::string& path) { return m_figures[path]; }
    RelayTestBed& world() { return m_world; }
    /// Sums over the entries.
    QueryCounters counters() const;

private:
    struct Entry {
        InstanceName name;
        std::unique_ptr<QueryEngine> engine;
        std::uint64_t requests = 0;
        TimePoint wakeAt = never;
    };
    struct Sent {
        std::string path;
        TimePoint deadline;
    };

    void buildTables(const SearchShape&);
    void arrive(const std::string& path, double perSecond, TimePoint until);
    void perform(Entry&, QueryActions&);
    void arm(Entry&);
    template <typename Call>
    void callEngine(Entry&, Call);

    RelayTestBed m_world;
    QueryTables m_tables;
    std::vector<Entry> m_entries;
    std::unordered_map<RequestId, Sent> m_sent;
    std::map<std::string, SearchFigures> m_figures;
};

}
