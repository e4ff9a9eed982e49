#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "http/http_limits.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lycheefield {

/// One request that waits for its reply. Thread safe.
///
/// Destroyed without a reply, it replies 500, so that no caller waits in vain.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /// Sends the reply. Only the first call counts.
    virtual void respond(HttpResponse) = 0;
    /// The function runs once when the caller closes its connection before the reply.
    virtual void onGone(std::function<void()>) = 0;
};

/// Answers requests. Called on any thread; it must not block.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest, std::shared_ptr<HttpExchange>) = 0;
};

/// HTTP/1.1 server with keep-alive. Pipelined requests are answered one after the other, in order.
/// Public methods are thread safe.
class HttpServer {
public:
    /// Precondition: the handler outlives the io_context's run.
    HttpServer(boost::asio::io_context&, HttpHandler&, std::shared_ptr<const Clock>, std::shared_ptr<HttpServerCounters>, HttpLimits = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on the endpoint; port 0 lets the kernel choose. Call it once.
    Result<Endpoint> listen(const Endpoint&);
    /// The limits of messages and connections that start from now on.
    void setLimits(const HttpLimits&);
    /// From now on each reply closes its connection. Idle connections stay, for requests on their way.
    void closeAfterReplies();
    /// From now on each reply closes its connection, and idle connections are closed.
    void beginDrain();
    /// Accepts no more connections; those that are open go on.
    void stopListening();
    /// Stops accepting and closes every connection.
    void close();

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
