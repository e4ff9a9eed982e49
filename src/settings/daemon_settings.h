#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "observe/log.h"

#include <cstdint>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

/// How legs reach backend servers.
enum class Routing : std::uint8_t {
    Relay, ///< Through the instance that owns the server.
    Direct, ///< From the entry straight to the server.
};

/// Who this instance is.
struct InstanceSettings {
    InstanceName name; ///< Required.
    ZoneName zone; ///< Required.
    std::uint32_t threads = 2;
    Routing routing = Routing::Relay;
    LogFormat logFormat = LogFormat::Text;

    friend bool operator==(const InstanceSettings&, const InstanceSettings&) = default;
};

/// Where the daemon listens. Port 0 lets the kernel choose.
struct ListenSettings {
    std::string address = "127.0.0.1";
    std::string advertisedAddress; ///< Told to peers and the platform; empty: the listen address.
    std::uint16_t httpPort = 0;
    std::uint16_t innerPort = 0;
    Endpoint crossZoneGateway { "127.0.0.1", 0 }; ///< HTTP CONNECT gateway to peers in other zones; port 0: none.

    friend bool operator==(const ListenSettings&, const ListenSettings&) = default;
};

/// The platform's service and the budget of calls to it.
struct PlatformSettings {
    Endpoint endpoint { "127.0.0.1", 0 }; ///< The port is required.
    Duration requestTimeout = 500ms;
    Duration watchTimeout = 30s;
    std::uint32_t callsPerSecond = 50; ///< Every call counts, a waiting watch as one.
    Duration backoffMinimum = 100ms; ///< Before the first retry; doubled with jitter up to the maximum.
    Duration backoffMaximum = 5s;
    Duration listPeriod = 5s; ///< Between two reads of the instance list.

    friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
};

struct DrainSettings {
    Duration balancerLag = 3s; ///< Goes on taking requests for this long after readiness fails.
    Duration limit = 60s; ///< Ends what is still in flight after this long, and says what it ended.

    friend bool operator==(const DrainSettings&, const DrainSettings&) = default;
};

/// Limits on what is read from outside.
struct HttpSettings {
    ByteCount maxHeader = kibibytes(16);
    ByteCount maxBody = mebibytes(1);
    std::uint32_t maxLegs = 1024; ///< Of one request.
    ByteCount maxFrame = mebibytes(16); ///< Of the inner protocol.
    std::uint32_t maxConnections = 2000; ///< From callers.
    Duration headerTimeout = 5s; ///< For a whole header, from its first byte.
    Duration bodyTimeout = 10s; ///< For a whole body.
    Duration idleTimeout = 60s; ///< Between two requests of a connection.

    friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
};

/// What is kept for operators.
struct ObserveSettings {
    std::uint32_t tracesKept = 1000;

    friend bool operator==(const ObserveSettings&, const ObserveSettings&) = default;
};

/// The gateway: an instance that forwards callers' requests straight to backend servers.
struct GatewaySettings {
    Endpoint callers; ///< Where callers connect; port 0: this instance is no gateway.
    Endpoint store; ///< The platform's store; for a gateway in place of [platform] address and port.
    Endpoint readiness; ///< Where the balancer asks whether this instance is ready.
    std::uint16_t metricsPort = 0; ///< On the callers' address; 0: no metrics.
    std::uint32_t logLinesPerSecond = 50; ///< Lines about single requests at most; changes of state come besides.
    Duration stopLimit = 6s; ///< After SIGTERM the process is gone by then.
    Share cores { 1 }; ///< Of one core, what this process may use.
    Duration configurationLimit = 3s; ///< A new configuration is in force by then.
    Duration serversLimit = 3s; ///< A server that drains or is gone gets no new work by then.

    friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

/// Faults that tests inject into a real process; none by default.
struct FaultSettings {
    Share peerMessageLoss { 0 }; ///< Share of membership and rule messages that are dropped instead of sent.

    friend bool operator==(const FaultSettings&, const FaultSettings&) = default;
};

}
