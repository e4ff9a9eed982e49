#pragma once

#include "dispatch/relay_test_bed.h"
#include "query/query_engine.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield::bench {

/// Configuration of a run of searches, in which the real engines of entries and relays share one virtual clock.
struct SearchShape {
    std::uint32_t instances = 9;
    std::uint32_t shards = 20;
    std::uint64_t seed = 1;
    Duration serviceTime = 20ms;
    QuerySettings entrySettings;
    RelaySettings relaySettings;
};

/// Outcomes of the searches of one priority.
struct SearchFigures {
    std::uint32_t sent = 0;
    std::uint32_t complete = 0;
    std::uint32_t partial = 0; ///< Answered in time with a partial answer that meets the minimum coverage.
    std::uint32_t notAdmitted = 0; ///< Refused without running.

    double answered() const { return sent == 0 ? 1 : static_cast<double>(complete + partial) / sent; }
};

/// Sends searches to entries, with Poisson arrivals; their legs go to the relays of a RelayTestBed.
class SearchLoad {
public:
    explicit SearchLoad(const SearchShape&);

    /// Schedules the arrivals of searches of a rule from now until `until`, without advancing the clock.
    void start(const std::string& path, double perSecond, TimePoint until);
    void runUntil(TimePoint time) { m_testBed.runUntil(time); }
    TimePoint now() const { return m_testBed.now(); }
    const SearchFigures& of(const std::string& path) { return m_figures[path]; }
    RelayTestBed& testBed() { return m_testBed; }
    /// Returns the sum of the counters of all entries.
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
    void execute(Entry&, QueryActions&);
    void scheduleWake(Entry&);
    template <typename Call>
    void callEngine(Entry&, Call);

    RelayTestBed m_testBed;
    QueryTables m_tables;
    std::vector<Entry> m_entries;
    std::unordered_map<RequestId, Sent> m_sent;
    std::map<std::string, SearchFigures> m_figures;
};

}
