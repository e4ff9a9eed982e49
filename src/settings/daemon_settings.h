#pragma once

#include "base/buffer_limit.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "observe/log.h"

#include <cstdint>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

/// Path of legs to backend servers.
enum class Routing : std::uint8_t {
    Relay, ///< Through the relay instance that owns the server.
    Direct, ///< From the entry to the server without a relay.
};

/// Identity of this instance and process-wide options.
struct InstanceSettings {
    InstanceName name; ///< Required.
    ZoneName zone; ///< Required.
    std::uint32_t threads = 2;
    Routing routing = Routing::Relay;
    LogFormat logFormat = LogFormat::Text;
    ByteCount maxBuffered = BufferLimit::defaultMax; ///< Of responses and frames, over all connections; see BufferLimit.

    friend bool operator==(const InstanceSettings&, const InstanceSettings&) = default;
};

/// Listening addresses of the daemon. With port 0 the kernel chooses the port.
struct ListenSettings {
    std::string address = "127.0.0.1";
    std::string advertisedAddress; ///< Announced to peers and the platform; empty: the listen address.
    std::uint16_t httpPort = 0;
    std::uint16_t innerPort = 0;
    Endpoint crossZoneGateway { "127.0.0.1", 0 }; ///< HTTP CONNECT gateway to peers in other zones; port 0: none.

    friend bool operator==(const ListenSettings&, const ListenSettings&) = default;
};

/// The platform's endpoint and the budget of calls to it.
struct PlatformSettings {
    Endpoint endpoint { "127.0.0.1", 0 }; ///< The port is required.
    Duration requestTimeout = 500ms;
    Duration watchTimeout = 30s;
    std::uint32_t callsPerSecond = 50; ///< Every call counts; a waiting watch counts as one.
    Duration backoffMinimum = 100ms; ///< Before the first retry; doubled with jitter up to the maximum.
    Duration backoffMaximum = 5s;
    Duration listPeriod = 5s; ///< Between two fetches of the instance list.

    friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
};

struct DrainSettings {
    Duration balancerLag = 3s; ///< For this long after readiness fails the instance still takes requests, as the balancer may send some.
    Duration limit = 60s; ///< Requests still in flight after this long are ended and logged.

    friend bool operator==(const DrainSettings&, const DrainSettings&) = default;
};

/// Limits on input from callers and peers.
struct HttpSettings {
    ByteCount maxHeader = kibibytes(16);
    ByteCount maxBody = mebibytes(1);
    std::uint32_t maxLegs = 1024; ///< Per request.
    ByteCount maxFrame = mebibytes(16); ///< Of the inner protocol.
    std::uint32_t maxConnections = 2000; ///< From callers.
    Duration headerTimeout = 5s; ///< For a whole header, from its first byte.
    Duration bodyTimeout = 10s; ///< For a whole request body.
    Duration idleTimeout = 60s; ///< Between two requests on one connection.

    friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
};

/// Data kept for operators.
struct ObserveSettings {
    std::uint32_t tracesKept = 1000;

    friend bool operator==(const ObserveSettings&, const ObserveSettings&) = default;
};

/// The gateway: an instance that forwards callers' requests directly to backend servers.
struct GatewaySettings {
    Endpoint callers; ///< Listening endpoint for callers; port 0: this instance is no gateway.
    Endpoint store; ///< The platform's store; replaces [platform] address and port for a gateway.
    Endpoint readiness; ///< Listening endpoint for the balancer's readiness checks.
    std::uint16_t metricsPort = 0; ///< On the callers' address; 0: no metrics.
    std::uint32_t logLinesPerSecond = 50; ///< Limit on lines about single requests; lines about state changes are not limited.
    Duration stopLimit = 6s; ///< From SIGTERM to the end of the process, at most.
    Share cores { 1 }; ///< Share of one core that this process may use.
    Duration configurationLimit = 3s; ///< From a configuration change until it is in force here, at most.
    Duration renewalPeriod = 1s; ///< Backend servers renew their entries in the store once in this period.
    Duration serversLimit = 3s; ///< From the drain or removal of a server until it gets no new work, at most.
    Duration zoneDrainLimit {}; ///< From the drain of an availability zone until its servers get no new work, at most; zero: zones are not drained.

    friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

/// Faults that tests inject into a running process; none by default.
struct FaultSettings {
    Share peerMessageLoss { 0 }; ///< Share of membership and rule messages that the sender drops.

    friend bool operator==(const FaultSettings&, const FaultSettings&) = default;
};

}
