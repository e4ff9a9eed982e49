#pragma once

#include "base/random_source.h"
#include "bench/event_queue.h"
#include "bench/fleet_shape.h"
#include "query/query_engine.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield::bench {

/// Entries that run the real query engine, with fake relays, servers and links, on a virtual clock.
class VirtualFleet {
public:
    explicit VirtualFleet(const FleetShape&);
    FleetFigures run();

private:
    struct Entry {
        InstanceName name;
        ZoneName zone;
        std::vector<std::unique_ptr<QueryEngine>> engines; ///< The counter of a request selects its engine.
        ProcessLife life;
        std::uint64_t requests = 0;
        std::vector<TimePoint> wakeAt; ///< Time of the next timer of each engine.

        std::size_t engineOf(const RequestId& id) const { return id.counter % engines.size(); }
    };
    struct Leg {
        WorkOrder work; ///< The work order, with its list of legs empty.
        LegOrder order;
        TimePoint arrived {};
        TimePoint began {};
        bool cancelled = false;
    };
    struct FakeServer {
        ServerName name;
        ZoneName zone;
        std::uint32_t shard = 0;
        double factor = 1;
        TimePoint downUntil {};
        std::deque<std::shared_ptr<Leg>> queue;
        std::map<LegKey, std::shared_ptr<Leg>> running;
        double recentMicros = 0;
    };

    void buildTables();
    void arrive(std::uint32_t index);
    void addEntry(const Instance&);
    void execute(Entry&, QueryActions&);
    void sendWork(Entry&, SendWork&);
    void onAnswer(const Answer&);
    void scheduleWake(Entry&, std::size_t engine);
    template <typename Call>
    void callEngine(Entry&, std::size_t engine, Call);

    Duration linkDelay(const ZoneName&, const ZoneName&);
    void enqueue(FakeServer&, std::shared_ptr<Leg>);
    void beginNext(FakeServer&);
    void finish(FakeServer&, const std::shared_ptr<Leg>&);
    void crash(FakeServer&);
    void announceCrash(const FakeServer&);
    void cancelLeg(const ServerName&, const LegKey&);
    void respond(const FakeServer&, const Leg&, LegOutcome, bool crashed = false);
    double serviceTimeFactor();
    Duration serviceTime(const FakeServer&);
    bool isPoison(const Leg&) const;

    FleetShape m_shape;
    EventQueue m_events;
    SeededRandom m_random;
    QueryTables m_tables;
    std::vector<Entry> m_entries;
    std::unordered_map<InstanceName, ZoneName> m_zones;
    std::unordered_map<ServerName, FakeServer> m_servers;
    std::vector<std::vector<ServerName>> m_replicas;
    std::unordered_map<RequestId, std::pair<TimePoint, std::uint32_t>> m_startedAt;
    std::map<LegKey, ServerName> m_serverOf;
    std::vector<double> m_latencies;
    std::uint32_t m_complete = 0;
    std::uint32_t m_answered = 0;
    std::uint32_t m_counted = 0;
    std::uint64_t m_startedLegs = 0;
    double m_busyMicros = 0;
    double m_wastedMicros = 0;
    std::int64_t m_cpuNanos = 0;
    TimePoint m_firstCrash = never;
    std::uint32_t m_crashedServers = 0;
    std::uint32_t m_collateralLegs = 0;
    std::uint32_t m_shardOutages = 0;
};

}
