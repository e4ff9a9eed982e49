#pragma once

#include "base/ids.h"
#include "base/leg.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Open one more connection to a server; report it by onConnected or onConnectionLost.
struct OpenConnection {
    ServerName server;
    ConnectionId connection;
};

/// Close an idle connection.
struct CloseConnection {
    ServerName server;
    ConnectionId connection;
};

/// Send one leg to the server on a connection that has nothing else in flight.
struct RunLeg {
    ServerName server;
    ConnectionId connection;
    WorkOrder work; ///< work.legs holds exactly this leg.
};

/// Ask the server to stop a leg that runs on this connection. Its answer is still awaited.
struct CancelAtServer {
    ServerName server;
    ConnectionId connection;
    LegKey key;
};

/// Send the result to the entry that ordered the leg.
struct ReturnResult {
    InstanceName entry;
    LegResult result;
};

/// Tell every instance that this server takes no new work, or that it does again.
struct AnnounceServer {
    ServerState state;
};

/// Where a content ran when a server crashed.
struct CrashLocation {
    ServerName server;
    ShardNumber shard;

    friend bool operator==(const CrashLocation&, const CrashLocation&) = default;
};

/// Tell every instance that this content crashed a server, and whether it is quarantined. It goes to
/// the other engines of this instance too.
struct AnnounceCrash {
    Fingerprint fingerprint;
    std::uint32_t crashes = 0; ///< Zero: a probe cleared the content.
    Duration quarantine {}; ///< Zero: under suspicion only.
    CrashLocation place {}; ///< The server's name is empty when the news does not say.
};

using RelayAction = std::variant<OpenConnection, CloseConnection, RunLeg, CancelAtServer, ReturnResult, AnnounceServer, AnnounceCrash>;
using RelayActions = std::vector<RelayAction>;

}
