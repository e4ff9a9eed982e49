#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "http/http_limits.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// Request that waits for its response. Thread safe.
///
/// An exchange that is destroyed without a response responds with status 500, so that no caller waits in vain.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /// Sends the response. Only the first call has an effect.
    virtual void respond(HttpResponse) = 0;
    /// Sets the function that runs once when the caller disconnects before the response is sent.
    virtual void onDisconnect(std::function<void()>) = 0;
    /// Returns the time that the request and its response spend on the network, with the handshake if the caller opened
    /// the connection for this request; zero when unknown. Thread safe.
    virtual Duration networkTime() const { return {}; }
    /// Returns the IP address from which the caller connected; empty when unknown. Thread safe.
    virtual std::string callerAddress() const { return {}; }
};

/// Handler of requests. Called on any thread; must not block.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest, std::shared_ptr<HttpExchange>) = 0;
};

/// HTTP/1.1 server with keep-alive. Pipelined requests are handled one at a time, in order.
/// Public methods are thread safe.
class HttpServer {
public:
    /// Precondition: the handler outlives the run of the io_context.
    HttpServer(boost::asio::io_context&, HttpHandler&, std::shared_ptr<const Clock>, std::shared_ptr<HttpServerCounters>, HttpLimits = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on the endpoint and returns the endpoint with the bound port; for port 0 the kernel chooses a free port. Call until it succeeds once.
    Result<Endpoint> listen(const Endpoint&);
    /// Sets the limits for messages and connections that start afterwards.
    void setLimits(const HttpLimits&);
    /// Makes each later response close its connection. Idle connections stay open, for requests that are already being sent.
    void closeAfterResponses();
    /// Makes each later response close its connection, and closes idle connections.
    void beginDrain();
    /// Whether a caller still reads a response that has not been handed to the system as a whole.
    bool isSending() const;
    /// Stops accepting connections; open connections stay open.
    void stopListening();
    /// Stops accepting and closes every connection.
    void close();

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
