#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"
#include "catalog/shard_map.h"
#include "dispatch/relay_engine.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace lycheefield {

/// Who hears from the connections to backend servers. Calls come on the executor that the
/// connection was opened with.
class BackendEvents {
public:
    virtual ~BackendEvents() = default;
    virtual void onBackendConnected(const ServerName&, ConnectionId) = 0;
    virtual void onBackendAnswer(const ServerName&, ConnectionId, const ServerAnswer&) = 0;
    /// The connection could not be opened, or ended. Comes once, but not after close().
    virtual void onBackendLost(const ServerName&, ConnectionId, bool bytesHanded) = 0;
    virtual void onBackendHealth(const ServerName&, const HealthReport&) = 0;
};

/// One connection that runs legs, one at a time. Not thread safe: call it on its executor.
class BackendConnection {
public:
    virtual ~BackendConnection() = default;
    /// Precondition: connected, nothing in flight, and the order has exactly one leg.
    virtual void run(const WorkOrder&, TimePoint now) = 0;
    virtual void close() = 0;
};

/// The one connection to a server that carries cancellations and health polls. It opens itself
/// again with backoff until it is closed. Not thread safe: call it on its executor.
class BackendControl {
public:
    virtual ~BackendControl() = default;
    virtual void cancel(const LegKey&) = 0;
    /// Asks for the server's health unless the answer to the last poll is still missing.
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

/// Backend servers over HTTP/1.1, as docs/INTERFACES.md describes them.
std::unique_ptr<BackendConnector> makeHttpBackendConnector();

}
