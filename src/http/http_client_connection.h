#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_limits.h"
#include "http/http_message.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Who hears from an HttpClientConnection. All calls come on the connection's executor.
class HttpClientEvents {
public:
    virtual ~HttpClientEvents() = default;
    virtual void onConnected() = 0;
    virtual void onResponse(HttpResponse) = 0;
    /// The connection could not be opened, or ended. Comes exactly once, but not after close().
    /// bytesHanded: a request was in flight and some of it was handed to the connection.
    virtual void onLost(bool bytesHanded, const std::string& reason) = 0;
};

/// One HTTP/1.1 connection with one request in flight at a time.
///
/// It keeps itself alive while it is open, and reads all the time, so that a server that closes
/// an idle connection is noticed before the next request. Not thread safe: call it on its executor.
class HttpClientConnection {
public:
    virtual ~HttpClientConnection() = default;
    /// Precondition: connected, and no request is in flight.
    virtual void send(const HttpRequest&) = 0;
    /// Ends the connection. Nothing is reported afterwards.
    virtual void close() = 0;
};

/// Starts to connect. Precondition: the executor is a strand. The events object is held weakly.
std::shared_ptr<HttpClientConnection> openHttpConnection(
    const boost::asio::any_io_executor&, const Endpoint&, std::weak_ptr<HttpClientEvents>, Duration connectTimeout, HttpLimits = {});

}
