#pragma once

#include "base/random_source.h"
#include "forward/forward_request.h"
#include "forward/forward_settings.h"
#include "forward/limit_sharing.h"
#include "forward/server_choice.h"
#include "forward/server_entry.h"
#include "forward/server_rate_limit.h"
#include "forward/unlisted_servers.h"
#include "placement/reported_slowdown.h"
#include "placement/zone_spill.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheefield {

/// The state of one backend server, as observed from this instance's traffic.
struct TrackedServer {
    ServerEntry entry;
    bool isListed = true; ///< False once the server's entry is removed; the server then gets no new work.
    bool isReplaced = false; ///< Another server has its address.
    bool isInDrainedZone = false; ///< Its zone gets no new work.
    bool isLeaving = false; ///< The server's own responses say that it leaves.
    bool isInZone = true; ///< In this instance's zone.
    Duration zoneCost {}; ///< Added to the expected latency of a server in another zone.
    TimePoint listedAt {}; ///< When the current entry was received.
    std::uint32_t inFlight = 0; ///< Attempts of this instance that have not ended.
    TimePoint noResponseSince = never; ///< Start of the current wait for a response; `never` while no attempt is in flight.
    double slowness = 1; ///< Smoothed latency as a multiple of the route's median.
    std::uint32_t slowStreak = 0; ///< Consecutive slow responses; one to an attempt that was sent before the previous slow response is not counted.
    TimePoint slownessUpdatedAt {};
    TimePoint lastSlowAt {}; ///< When the last slow response arrived.
    ServerLoad load;
    TimePoint loadReportedAt {};
    ReportedSlowdown reportedSlowdown;
    std::uint32_t maxInFlight = 0; ///< Limit on this instance's attempts in flight until fullUntil.
    TimePoint fullUntil {};
    std::uint32_t failuresInRow = 0;
    TimePoint avoidUntil {}; ///< End of the back-off after failures; until then the expected latency has a penalty.
    TimePoint retryNotBefore {}; ///< From the Retry-After of a refusal; before then the server wants no request of this instance.
    std::optional<double> advertisedLimit; ///< Requests per second that the server allows all instances together; empty: no limit.
    ServerRateLimit rateLimit; ///< This instance's share of that limit.
    std::uint64_t shareVersion = 0; ///< Of the inputs from which the share was computed.
    TimePoint warmUntil {}; ///< End of the warm-up, as its entry or a response said.
    ServerRateLimit warmupLimit; ///< This instance's share of what the server takes while it warms up.
    std::uint64_t warmupShareVersion = 0; ///< Of the inputs from which that share was computed.

    /// Whether the process that wrote the entry is the one that this state is about.
    bool isOfProcess(const ServerEntry& other) const { return entry.startedAt == other.startedAt && entry.endpoint == other.endpoint; }
    /// Returns the time until the server may be sent a request, given its limit, its warm-up and its Retry-After.
    Duration untilAllowed(TimePoint now) const
    {
        const auto warmup = now < warmUntil ? std::min(warmupLimit.untilAllowed(now), Duration(warmUntil - now)) : Duration {};
        return std::max({ rateLimit.untilAllowed(now), warmup, Duration(retryNotBefore - now), Duration {} });
    }
    bool takesNewWork() const { return isListed && !isReplaced && !isLeaving && !entry.isDraining && !isInDrainedZone; }
};

using TrackedServerPtr = std::shared_ptr<TrackedServer>;

/// The inputs of a server selection.
struct PickContext {
    Duration medianTime {}; ///< Median latency of the route's legs.
    TimePoint now {};
    const std::vector<TrackedServerPtr>* tried = nullptr; ///< Servers to exclude; null for none.
    Duration targetLatency {}; ///< Of the route; zero: each request goes to the server with the lowest expected latency.
    bool isEstimate = false; ///< Nothing is sent to the selected server.
};

/// A change of the decision whether requests for a service leave the zone, with the figures that caused it.
struct ZoneSpillChange {
    ServiceName service;
    bool isSpilling = false;
    double share = 0;
    ZoneSpillInputs inputs;

    friend bool operator==(const ZoneSpillChange&, const ZoneSpillChange&) = default;
};

/// Selects servers by their silence, failures, recent latencies, load and zone.
///
/// Health endpoints are not used, because their results are late and misleading and a health request takes
/// a slot of the server. The settings and the random source outlive the pool. Performs no I/O. Not thread safe.
class ServerPool {
public:
    ServerPool(const ForwardSettings&, RandomSource&);

    /// Replaces the servers that may get work. The state of a server is kept while its endpoint and start time are the same, also while
    /// its entry is missing.
    void update(const std::map<ServerName, ServerEntry>&, TimePoint);
    /// Sets the zones whose servers get no new work.
    void setDrainedZones(const std::set<ZoneName>&);
    bool isDrained(const ZoneName& zone) const { return m_drainedZones.contains(zone); }
    /// Sets the number of instances that share the servers' connections; 0 counts as 1.
    void setInstances(std::uint32_t n) { m_instances = std::max(1U, n); }
    std::uint32_t instances() const { return m_instances; }
    /// Sets the instances that share the request rates which servers allow, with or without this one.
    void setFleet(const std::vector<Instance>&, TimePoint);
    /// Sets the services to which single requests go.
    void setDirectServices(std::set<ServiceName>);

    /// Returns the server with the lowest expected latency; null when no server may get work now. A server in another zone
    /// is returned only if the zone's own can't respond in time, for a part of the requests (see ZoneSpill), or to a further attempt.
    TrackedServerPtr pick(const ServiceName&, const ServicePolicy&, const PickContext&);
    /// Returns what pick() would base its choice on now. The random spread of the expected latencies is left out.
    ServerChoice explain(const ServiceName&, const ServicePolicy&, const PickContext&) const;
    /// Sets the network round trip to the zone, as far as it is known.
    void setNetworkTime(const ZoneName&, Duration);
    /// Returns the changes of the decisions to leave the zone since the last call.
    std::vector<ZoneSpillChange> takeSpillChanges(TimePoint);
    /// Records that a request's first attempt was sent to the server.
    void recordFirstAttempt(const TrackedServer&);
    /// Returns the highest share of one service's last requests that left the zone.
    double highestLeftShare() const;
    /// Returns the expected latency of a request sent now, with penalties for silence, failures and another zone.
    Duration expected(const TrackedServer&, const PickContext&) const;
    /// Returns the expected latency without the penalty for silence, since the silence may be a short pause.
    Duration expectedIfResponsive(const TrackedServer&, const PickContext&) const;
    /// Returns whether the service has a server that accepts new work.
    bool hasServers(const ServiceName&) const;
    /// Returns whether the service has a server in the zone that accepts new work.
    bool hasServersIn(const ServiceName&, const ZoneName&) const;
    /// Returns whether the service has a server that accepts new work and is not among the tried ones.
    bool hasUntriedServers(const ServiceName&, const std::vector<TrackedServerPtr>& tried) const;
    /// Returns whether the service has a single server left whose last attempt did not fail and which is not among the crashed ones,
    /// and has others that accept new work.
    bool hasOneRunningServer(const ServiceName&, const std::set<ServerName>& crashed) const;
    /// Returns the time until a server of the service is out of its back-off after failures; zero when one is
    /// now, and unusableCost when no server accepts new work.
    Duration untilUsable(const ServiceName&, TimePoint) const;

    /// Returns the time until a server of the service may be sent a request, given the limits and the Retry-After of the servers; zero when
    /// one may now or no server accepts new work.
    Duration untilAllowed(const ServiceName&, TimePoint) const;
    /// Records the request rate that the server allows, in requests per second, as advertised in its last response; empty: any.
    void recordLimit(TrackedServer&, std::optional<double> limit, TimePoint);

    /// Sets the request rates that the servers of each service take while they warm up. Without a rate there is no limit.
    void setWarmupRates(const std::map<ServiceName, ServicePolicy>&, TimePoint);
    /// Records that the server warms up for so long. Precondition: the duration is positive.
    void recordWarmup(TrackedServer&, Duration, TimePoint);

    static void recordSent(TrackedServer&, TimePoint);
    /// Records the end of an attempt, with or without a response. Precondition: recordSent() was called for the attempt.
    static void recordEnd(TrackedServer&, TimePoint);
    /// Records a successful response: ends the back-off, and updates the slowness unless the median is zero.
    static void recordAnswer(TrackedServer&, TimePoint sentAt, Duration median, TimePoint);
    /// Records that the server rejected a connection or a request for lack of capacity. For a while this
    /// instance has no more attempts in flight to the server than now.
    static void recordFull(TrackedServer&, TimePoint);
    /// Starts a back-off, whose length grows exponentially with the failures in a row.
    static void recordFailure(TrackedServer&, TimePoint);
    /// Returns whether a refusal with that load report means that the server is full. A refusal without a
    /// report, or by a server with no waiting requests, counts as a failure.
    static bool isFull(const std::optional<ServerLoad>& load) { return load && load->waiting > 0; }
    /// Records that the server refused a request and wants none of this instance for that time.
    static void recordRetryAfter(TrackedServer&, Duration, TimePoint);
    static void recordLoad(TrackedServer&, const ServerLoad&, TimePoint);
    /// Marks the server as replaced: another server has its address.
    static void markReplaced(TrackedServer&);

    /// Expected latencies from this value on mean that the server is silent or failing, so that an extra
    /// attempt there is useless.
    static constexpr Duration unusableCost = 1s;

private:
    std::uint32_t connectionShare(const ServicePolicy&) const;
    ServerExclusion exclusionOf(const TrackedServerPtr&, std::uint32_t connectionShare, const PickContext&) const;
    bool isSilent(const TrackedServer&, const PickContext&) const;
    /// Returns whether the server is neither silent nor in its back-off after failures.
    bool isResponsive(const TrackedServer& server, const PickContext& context) const { return !isSilent(server, context) && context.now >= server.avoidUntil; }
    /// Returns the expected latency without queueing as a multiple of the route's median.
    static double expectedSlowness(const TrackedServer&, TimePoint);
    /// Returns the requests that the server is known to run or have waiting.
    static double requestsAhead(const TrackedServer&, TimePoint);
    ServiceReach reachOf(const ServiceName&) const;
    Duration costOf(const ZoneName&) const;
    /// Returns whether a request leaves the zone. Precondition: a server in another zone has a lower expected latency than all in this zone.
    bool leavesZone(const ServiceName&, const TrackedServer& local, const PickContext&);
    /// Returns the service's decision, updated if that is due.
    ZoneSpill& observeZones(const ServiceName&, const PickContext&);
    ZoneSpillInputs spillInputs(const ServiceName&, const PickContext&) const;
    /// Forgets the decisions for services whose requests no longer leave.
    void endUnusedSpills(TimePoint);
    /// Sets this instance's share of what the server takes while it warms up.
    void limitWarmup(TrackedServer&, TimePoint);
    void limitWarmups(TimePoint);

    const ForwardSettings& m_settings;
    RandomSource& m_random;
    /// Number of instances assumed until setInstances() is called, so that each instance uses only a small
    /// share of the connections.
    static constexpr std::uint32_t instancesUntilCounted = 32;

    std::uint32_t m_instances = instancesUntilCounted;
    std::uint32_t m_zoneInstances = 1;
    LimitSharing m_sharing;
    std::set<ServiceName> m_directServices;
    std::set<ZoneName> m_drainedZones;
    std::map<ServiceName, double> m_warmupRates; ///< The rates that are divided among the instances.
    std::uint64_t m_shareVersion = 1; ///< Changes with each input of the shares.
    TimePoint m_nextShareChange = never;
    std::map<ServerName, TrackedServerPtr> m_servers;
    UnlistedServers m_unlisted;
    std::unordered_map<ServiceName, std::vector<TrackedServerPtr>> m_byService;
    std::unordered_map<ServiceName, ZoneSpill> m_spills; ///< Of the services whose requests left the zone or wanted to.
    std::vector<ZoneSpillChange> m_spillChanges;
    TimePoint m_nextSpillReview {};
    std::map<ZoneName, Duration> m_networkTimes;
};

}
