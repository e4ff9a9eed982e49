#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_limits.h"
#include "http/http_message.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Receiver of the events of an HttpClientConnection. All calls come on the connection's executor.
class HttpClientEvents {
public:
    virtual ~HttpClientEvents() = default;
    virtual void onConnected() = 0;
    virtual void onResponse(HttpResponse) = 0;
    /// The connection could not be opened, or has ended. Called once, but never after close().
    /// bytesWritten: a request was in flight and may have reached the server in part or whole.
    virtual void onLost(bool bytesWritten, const std::string& reason) = 0;
};

/// HTTP/1.1 client connection with at most one request in flight.
///
/// The connection keeps itself alive while open. A read is always pending, so that the connection detects
/// a server that closes an idle connection before the next request is sent. Not thread safe: call the
/// methods on the connection's executor.
class HttpClientConnection {
public:
    virtual ~HttpClientConnection() = default;
    /// Sends the request. Precondition: connected, and no request is in flight.
    virtual void send(const HttpRequest&) = 0;
    /// Closes the connection. No event is reported afterwards.
    virtual void close() = 0;
};

/// Starts to connect to the endpoint. The connection holds the events object weakly. Precondition: the executor is a strand.
std::shared_ptr<HttpClientConnection> openHttpConnection(
    const boost::asio::any_io_executor&, const Endpoint&, std::weak_ptr<HttpClientEvents>, Duration connectTimeout, HttpLimits = {});

}
