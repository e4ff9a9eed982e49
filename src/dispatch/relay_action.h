#pragma once

#include "base/ids.h"
#include "base/leg.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Opens one more connection to a server; the caller reports the outcome by onConnected, onConnectionLost or onConnectionNotOpened.
struct OpenConnection {
    ServerName server;
    ConnectionId connection;
};

/// Closes a connection that is surplus, hung or unknown to the engine.
struct CloseConnection {
    ServerName server;
    ConnectionId connection;
};

/// Sends one leg to the server on a connection that has nothing else in flight.
struct SendLeg {
    ServerName server;
    ConnectionId connection;
    WorkOrder work; ///< work.legs holds exactly this leg.
};

/// Asks the server to cancel the leg in flight on this connection. The server's response is still awaited.
struct CancelAtServer {
    ServerName server;
    ConnectionId connection;
    LegKey key;
};

/// Sends the result to the entry that ordered the leg.
struct ReturnResult {
    InstanceName entry;
    LegResult result;
};

/// Announces the state of a server to every instance: after a change of its drain or its ejection.
struct AnnounceServerState {
    ServerState state;
};

/// The server and the shard at which a content ran when the server crashed.
struct CrashLocation {
    ServerName server;
    ShardNumber shard;

    friend bool operator==(const CrashLocation&, const CrashLocation&) = default;
};

/// Announces to every instance, and to the other engines of this one, that the content was running
/// when a server crashed and whether the content is quarantined.
struct AnnounceCrash {
    Fingerprint fingerprint;
    std::uint32_t crashes = 0; ///< Zero: the suspicion is withdrawn.
    Duration quarantine {}; ///< Zero: the content is only suspect.
    CrashLocation location {}; ///< The server's name is empty when the server is not known.
    ServiceName service {}; ///< The server's service; empty when not known.
};

using RelayAction = std::variant<OpenConnection, CloseConnection, SendLeg, CancelAtServer, ReturnResult, AnnounceServerState, AnnounceCrash>;
using RelayActions = std::vector<RelayAction>;

}
