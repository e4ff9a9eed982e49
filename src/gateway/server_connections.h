#pragma once

#include "base/clock.h"
#include "forward/forward_action.h"
#include "gateway/server_protocol.h"
#include "observe/metrics.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace lycheefield {

/// Receives the outcome of server requests. Called on the executor of the connections.
class ServerRequestEvents {
public:
    virtual ~ServerRequestEvents() = default;
    virtual void onResponse(ServerRequestId, const ServerResponse&) = 0;
    virtual void onFailed(ServerRequestId, ServerRequestFailure) = 0;
    /// Reports the result of a check.
    virtual void onChecked(const ServerName&, ServerCheck) = 0;
};

/// A pool of keep-alive connections to all backend servers; each connection carries one request at a time.
///
/// A connection that received anything but the one expected response is closed and never reused.
/// Never more connections are open than allowed, so that they leave descriptors for the store and the other instances: a request beyond the
/// limit takes the place of the connection that has been idle for longest, and waits while none is idle.
/// Not thread safe: every call is made on the executor.
class ServerConnections {
public:
    /// maxConnections: to all servers together. Preconditions: the executor is a strand; the events outlive the strand's run; maxConnections > 0.
    ServerConnections(const boost::asio::any_io_executor&, const Clock&, const ServerProtocol&, ServerRequestEvents&, Metrics&, std::size_t maxConnections);
    ~ServerConnections();
    ServerConnections(const ServerConnections&) = delete;
    ServerConnections& operator=(const ServerConnections&) = delete;

    /// Sends the request on an idle connection, or on a new one. Leads to exactly one call of the events, unless the request is cancelled.
    void send(const SendServerRequest&);
    /// Opens a connection to learn whether the server runs, unless an open one may tell; it serves later requests. Leads to exactly
    /// one call of the events.
    void check(const CheckServer&);
    /// Withdraws the requests to servers of these zones whose connections are still being opened; each of them ends as not connected.
    void withdrawUnsent(const std::set<ZoneName>&);
    /// Withdraws the requests that wait for a connection to one of the servers that mayServe() rejects; each of them ends as withdrawn.
    void withdrawWaiting(const std::function<bool(const ServerName&)>& mayServe);
    /// Closes the request's connection, without a call of the events.
    void cancel(ServerRequestId);
    /// Keeps nothing of the request's response while it arrives. The events are called as usual, with an empty body.
    void discardResponse(ServerRequestId);
    /// Closes the connections that have been idle for as long as their server allows.
    void closeStale();
    /// Returns the number of open connections.
    std::size_t count() const;
    /// Returns the number of requests and checks that wait for a connection.
    std::size_t waiting() const;

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
