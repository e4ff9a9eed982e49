#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"
#include "catalog/shard_map.h"
#include "dispatch/relay_engine.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace lycheefield {

/// Receiver of the events of the connections to backend servers. The calls come on the executor with
/// which the connection was opened.
class BackendEvents {
public:
    virtual ~BackendEvents() = default;
    virtual void onBackendConnected(const ServerName&, ConnectionId) = 0;
    virtual void onBackendResponse(const ServerName&, ConnectionId, const LegResponse&) = 0;
    /// The connection could not be opened, or has ended. Called at most once, and never after close().
    virtual void onBackendDisconnected(const ServerName&, ConnectionId, bool bytesWritten) = 0;
    /// This process had no descriptor, port or memory to open the connection, so that the server was not asked. Called in place of
    /// onBackendDisconnected().
    virtual void onBackendNotOpened(const ServerName&, ConnectionId) = 0;
    virtual void onBackendHealth(const ServerName&, const HealthReport&) = 0;
};

/// Connection that runs legs, one at a time. Not thread safe: call the methods on its executor.
class BackendConnection {
public:
    virtual ~BackendConnection() = default;
    /// Sends the leg of the order to the server. Precondition: connected, no leg in flight, and the order has exactly one leg.
    virtual void run(const WorkOrder&, TimePoint now) = 0;
    virtual void close() = 0;
};

/// Control connection to a server, for cancellations and health polls. Reconnects until close() is
/// called, with exponential back-off unless this process itself lacked the resources to connect. Not thread safe: call the methods on its executor.
class BackendControl {
public:
    virtual ~BackendControl() = default;
    virtual void cancel(const LegKey&) = 0;
    /// Requests the server's health. Calls that come before the request is sent are merged into one request.
    virtual void pollHealth() = 0;
    virtual void close() = 0;
};

/// Opens connections to backend servers. Thread safe.
class BackendConnector {
public:
    virtual ~BackendConnector() = default;
    /// Precondition: the executor is a strand.
    virtual std::shared_ptr<BackendConnection> open(const boost::asio::any_io_executor&, const Server&, ConnectionId, std::weak_ptr<BackendEvents>) = 0;
    virtual std::shared_ptr<BackendControl> openControl(const boost::asio::any_io_executor&, const Server&, std::weak_ptr<BackendEvents>) = 0;
};

/// Returns the connector for backend servers that speak HTTP/1.1, as specified in docs/INTERFACES.md.
std::unique_ptr<BackendConnector> makeHttpBackendConnector();

}
