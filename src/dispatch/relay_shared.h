#pragma once

#include "dispatch/connection_pool.h"
#include "dispatch/crash_table.h"
#include "dispatch/peer_group.h"
#include "dispatch/relay_engine.h"

#include <map>
#include <unordered_map>

namespace lycheefield {

struct LegKeyHash {
    std::size_t operator()(const LegKey& key) const noexcept
    {
        return std::hash<RequestId> {}(key.request) + key.leg.value() * 0x9e3779b9U + key.attempt.value();
    }
};

/// What all servers of one engine share.
struct RelayShared {
    RelayShared(const RelaySettings& settings, const ServerDirectory& servers)
        : settings(settings)
        , crashes(this->settings, servers)
    {
    }

    RelaySettings settings;
    std::uint32_t holdersOfServer = 1; ///< As the tables in force say.
    RelayCounters counters;
    ConnectionCounters connections;
    CrashTable crashes;
    CrashId lastCrash;
    std::map<ServiceName, PeerGroup> groups;
    std::unordered_map<LegKey, ServerName, LegKeyHash> legs; ///< Every leg taken and not answered, and where it is.
};

}
