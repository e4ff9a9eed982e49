#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/forward_request.h"
#include "http/http_message.h"

#include <string>

namespace lycheefield {

/// What a request to a server carries besides the caller's own message.
struct ServerRequestFields {
    ServerName server; ///< Any other server that has the address now must refuse it.
    Duration timeLeft {}; ///< The server stops work after this time.

    friend bool operator==(const ServerRequestFields&, const ServerRequestFields&) = default;
};

/// How requests to servers are written and their replies read. Implementations are stateless and thread safe.
class ServerProtocol {
public:
    virtual ~ServerProtocol() = default;
    virtual HttpRequest write(const HttpRequest& callers, const ServerRequestFields&) const = 0;
    /// Decodes the reply to the attempt of that id.
    virtual ServerResponse read(HttpResponse, const std::string& attemptId) const = 0;
    /// How long the connection may stay idle after that reply and still be used; zero when the server does not say.
    virtual Duration idleAllowance(const HttpResponse&) const = 0;
};

}
