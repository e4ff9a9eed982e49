#pragma once

#include "base/random_source.h"
#include "forward/forward_request.h"
#include "forward/forward_settings.h"
#include "forward/server_entry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// One backend server as the traffic of this instance shows it.
struct TrackedServer {
    ServerEntry entry;
    bool isListed = true; ///< False once its entry is gone: it gets no new work.
    TimePoint listedAt {};
    std::uint32_t inFlight = 0; ///< Sends of this instance that are not over.
    TimePoint owesSince = never; ///< Since when it owes an answer and gave none; `never` while it owes none.
    double slowness = 1; ///< Its recent times as a multiple of the usual.
    std::uint32_t slowStreak = 0; ///< Slow answers in a row, each sent after the one before came.
    TimePoint slownessAt {};
    TimePoint slowAt {}; ///< When its last slow answer came.
    ServerLoad load;
    TimePoint loadAt {};
    std::uint32_t roomFor = 0; ///< Sends of this instance that it has room for, until roomUntil.
    TimePoint roomUntil {};
    std::uint32_t failuresInRow = 0;
    TimePoint avoidUntil {};

    bool takesNewWork() const { return isListed && !entry.isDraining; }
};

using TrackedServerPtr = std::shared_ptr<TrackedServer>;

/// What a server is picked for.
struct PickContext {
    Duration usualTime {}; ///< Of such a request at a healthy server.
    TimePoint now {};
    const std::vector<TrackedServerPtr>* tried = nullptr; ///< Left out; null: none.
};

/// Picks servers by what their answers show: silence, failures, recent times, load and zone.
///
/// Health endpoints are not asked: they lag, mislead and take a slot. It does no I/O and is not
/// thread safe.
class ServerPool {
public:
    ServerPool(const ForwardSettings&, RandomSource&);

    /// The servers that may get work. States of those that stay are kept.
    void update(const std::map<ServerName, ServerEntry>&, TimePoint);
    /// Instances that share the servers' connections; at least 1.
    void setInstances(std::uint32_t n) { m_instances = std::max(1U, n); }
    std::uint32_t instances() const { return m_instances; }

    /// The server that is expected to answer first, null when none may get work now.
    TrackedServerPtr pick(const ServiceName&, const ServicePolicy&, const PickContext&) const;
    /// How long a request sent to it now is expected to take, with penalties for silence, failures and distance.
    Duration expected(const TrackedServer&, const PickContext&) const;
    /// The same without the penalty for silence, which may be a short pause.
    Duration expectedIfAwake(const TrackedServer&, const PickContext&) const;
    /// False when the service has no listed server.
    bool hasServers(const ServiceName&) const;
    /// The same for servers of one zone.
    bool hasServersIn(const ServiceName&, const ZoneName&) const;
    /// Whether the service has a listed server that is not among those.
    bool hasOthers(const ServiceName&, const std::vector<TrackedServerPtr>& tried) const;
    /// When a server of the service is tried again after failures; zero when one may be used now.
    Duration untilUsable(const ServiceName&, TimePoint) const;

    static void noteSent(TrackedServer&, TimePoint);
    /// A send is over, whether it was answered or not.
    static void noteOver(TrackedServer&, TimePoint);
    static void recordAnswer(TrackedServer&, TimePoint sentAt, Duration usual, TimePoint);
    /// It turned a new connection or a request away: it has room for what is in flight and not for more, for a while.
    static void noteNoRoom(TrackedServer&, TimePoint);
    static void recordFailure(TrackedServer&, TimePoint);
    /// Whether a refusal with that load says that the server is full. Without requests waiting, it fails.
    static bool isFull(const std::optional<ServerLoad>& load) { return load && load->waiting > 0; }
    static void noteLoad(TrackedServer&, const ServerLoad&, TimePoint);
    /// Its address belongs to another server now.
    static void noteReplaced(TrackedServer&);

    /// Costs from here on say that the server is silent or failing: an extra send to it is no use.
    static constexpr Duration unusableCost = 1s;

private:
    std::uint32_t connectionShare(const ServicePolicy&) const;
    bool isSilent(const TrackedServer&, const PickContext&) const;

    const ForwardSettings& m_settings;
    RandomSource& m_random;
    /// Until the instances are counted, each takes little of what they share.
    static constexpr std::uint32_t instancesUntilCounted = 32;

    std::uint32_t m_instances = instancesUntilCounted;
    std::map<ServerName, TrackedServerPtr> m_servers;
    std::unordered_map<ServiceName, std::vector<TrackedServerPtr>> m_byService;
};

}
