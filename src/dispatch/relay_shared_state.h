#pragma once

#include "dispatch/connection_pool.h"
#include "dispatch/crash_table.h"
#include "dispatch/relay_engine.h"
#include "dispatch/server_group.h"

#include <map>
#include <unordered_map>

namespace lycheefield {

struct LegKeyHash {
    std::size_t operator()(const LegKey& key) const noexcept
    {
        return std::hash<RequestId> {}(key.request) + key.leg.value() * 0x9e3779b9U + key.attempt.value();
    }
};

/// The state that the relays of all servers of one engine share.
struct RelaySharedState {
    RelaySharedState(const RelaySettings& settings, const ServerDirectory& servers)
        : settings(settings)
        , crashes(this->settings, servers)
    {
    }

    RelaySettings settings;
    std::uint32_t holdersOfServer = 1; ///< From the tables in force.
    RelayCounters counters;
    ConnectionCounters connections;
    CrashTable crashes;
    CrashId lastCrash;
    std::map<ServiceName, ServerGroup> groups;
    std::unordered_map<LegKey, ServerName, LegKeyHash> legs; ///< The server of each leg taken and not yet answered.
};

}
