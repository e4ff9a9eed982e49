#pragma once

#include "base/clock.h"
#include "forward/forward_action.h"
#include "gateway/server_protocol.h"
#include "observe/metrics.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace lycheefield {

/// Who hears how sends end. Calls come on the connections' executor.
class ServerSendEvents {
public:
    virtual ~ServerSendEvents() = default;
    virtual void onResponse(ServerRequestId, const ServerResponse&) = 0;
    virtual void onLost(ServerRequestId, ServerRequestFailure) = 0;
};

/// The connections to all backend servers, one request at a time on each, kept for later requests.
///
/// A connection that carried anything but the one expected answer is closed and never used again.
/// Not thread safe: call it on its executor.
class ServerConnections {
public:
    /// Precondition: the executor is a strand, and events outlive its run.
    ServerConnections(const boost::asio::any_io_executor&, const Clock&, const ServerProtocol&, ServerSendEvents&, Metrics&);
    ~ServerConnections();
    ServerConnections(const ServerConnections&) = delete;
    ServerConnections& operator=(const ServerConnections&) = delete;

    /// Sends on an idle connection, or on a new one. Ends in one call of the events, unless it is closed.
    void send(const SendServerRequest&);
    /// Ends the send's connection; nothing is reported.
    void close(ServerRequestId);
    /// Closes connections that were idle for as long as their server allows.
    void closeStale();
    std::size_t count() const;

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
