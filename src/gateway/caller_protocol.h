#pragma once

#include "forward/forward_request.h"
#include "http/http_message.h"

#include <optional>
#include <string>

namespace lycheefield {

/// What a caller said about its request besides the request itself.
struct CallerFields {
    std::string attemptId; ///< Empty when it gave none.
    std::optional<Duration> timeLeft; ///< How long it waits; none given: as long as the route allows.

    friend bool operator==(const CallerFields&, const CallerFields&) = default;
};

/// A refusal decided before a request reached the engine.
struct EarlyRefusal {
    unsigned status = 503;
    Duration retryAfter {}; ///< Zero: none is told.
    std::string reason;

    friend bool operator==(const EarlyRefusal&, const EarlyRefusal&) = default;
};

/// How callers' requests are read and their answers written. Implementations are stateless and thread safe.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;
    virtual CallerFields read(const HttpRequest&) const = 0;
    virtual HttpResponse write(const ForwardAnswer&) const = 0;
    virtual HttpResponse write(const EarlyRefusal&) const = 0;
};

}
