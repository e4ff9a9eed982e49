#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/forward_request.h"
#include "http/http_message.h"

#include <string>

namespace lycheefield {

/// The fields that a request to a server carries in addition to the caller's message.
struct ServerRequestFields {
    ServerName server; ///< A different server that has taken over the address must refuse the request.
    Duration timeLeft {}; ///< The server stops work on the request after this time.
    TeamName team {}; ///< The team of the caller; empty when there is none.

    friend bool operator==(const ServerRequestFields&, const ServerRequestFields&) = default;
};

/// Writes requests to servers and reads their responses. Implementations are stateless and thread safe.
class ServerProtocol {
public:
    virtual ~ServerProtocol() = default;
    virtual HttpRequest write(const HttpRequest& callers, const ServerRequestFields&) const = 0;
    /// Decodes the response to the attempt with this id.
    virtual ServerResponse read(HttpResponse, const std::string& attemptId) const = 0;
    /// How long the connection may stay idle after this response and still be reused; zero when the server gives no limit.
    virtual Duration idleAllowance(const HttpResponse&) const = 0;
};

}
