#pragma once

#include "forward/forward_request.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// The fields that a caller attaches to its request.
struct CallerFields {
    std::string attemptId; ///< Empty when the caller gave none.
    std::optional<Duration> timeLeft; ///< How long the caller waits; absent: as long as the route allows.
    std::string_view key {}; ///< The API key; points into the request. Empty when the caller gave none, or more than one.

    friend bool operator==(const CallerFields&, const CallerFields&) = default;
};

/// A refusal of a request that has not reached the engine.
struct EarlyRefusal {
    unsigned status = 503;
    Duration retryAfter {}; ///< Zero: the response carries no retry time.
    std::string reason;

    friend bool operator==(const EarlyRefusal&, const EarlyRefusal&) = default;
};

/// Reads callers' requests and writes their answers. Implementations are stateless and thread safe.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;
    virtual CallerFields read(const HttpRequest&) const = 0;
    /// Removes the headers that hold the caller's API key or name a team, so that they go no further.
    virtual void removeCredentials(HttpRequest&) const = 0;
    virtual HttpResponse write(const ForwardAnswer&) const = 0;
    virtual HttpResponse write(const EarlyRefusal&) const = 0;
};

}
