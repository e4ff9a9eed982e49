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
    /// The response to the request in flight. onLost follows at once when the connection can't be reused.
    virtual void onResponse(HttpResponse) = 0;
    /// The connection could not be opened, or has ended. Called once for that, and once more, with bytesWritten
    /// false, for each request sent afterwards. Never called after close().
    /// bytesWritten is true when a request was in flight, which may have reached the server in part or whole.
    virtual void onLost(bool bytesWritten, const std::string& reason) = 0;
};

/// HTTP/1.1 client connection with at most one request in flight.
///
/// The connection keeps itself alive while open. A read is always pending, so that a close by the server is
/// detected while the connection is idle, and not only when the next request fails. Bytes that the server sends
/// without a request in flight end the connection. Not thread safe: call the methods on the connection's executor.
class HttpClientConnection {
public:
    virtual ~HttpClientConnection() = default;
    /// Sends the request. Precondition: onConnected was called, and no request is in flight. Errors are reported
    /// by onLost, also when the connection has already ended.
    virtual void send(const HttpRequest&) = 0;
    /// Keeps nothing of the body of the response in flight, which is reported without it. No effect without a request in flight.
    virtual void discardResponse() = 0;
    /// Closes the connection. No event is reported afterwards.
    virtual void close() = 0;
    /// Returns whether the peer's address rejected the connection, so that no process accepts connections there.
    virtual bool wasRejected() const = 0;
    /// Returns whether no connection was opened because this machine or process had no descriptor, port or memory for it. The
    /// peer was not asked then.
    virtual bool lackedResources() const = 0;
};

/// Starts to connect to the endpoint, whose address must be an IP address. Errors, among them the time-out, are
/// reported by onLost. A response above the limits is malformed. The connection holds the events object weakly.
/// The bytes of responses are counted under the owner; when it is empty, under the endpoint.
/// Precondition: the executor is a strand.
std::shared_ptr<HttpClientConnection> openHttpConnection(
    const boost::asio::any_io_executor&, const Endpoint&, std::weak_ptr<HttpClientEvents>, Duration connectTimeout, HttpLimits = {}, const std::string& owner = {});

}
