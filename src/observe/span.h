#pragma once

#include "base/request_id.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

/// Identifier of a span within its trace; 0 for no span.
using SpanId = StrongId<struct SpanIdTag, std::uint64_t>;

/// Time that one hop spent on a request, as in OpenTelemetry.
struct Span {
    SpanId id;
    SpanId parent;
    std::string name; ///< "entry", "leg", "relay.queue", "server".
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;

    friend bool operator==(const Span&, const Span&) = default;
};

/// W3C trace context that a caller sends and each hop forwards.
struct TraceParent {
    std::string traceId; ///< 32 hexadecimal digits.
    SpanId parent;

    /// Parses a traceparent header. The trace id of the result is empty when the header is malformed.
    static TraceParent parse(const std::string& header);
    /// Formats the context as a traceparent header.
    std::string toString() const;

    friend bool operator==(const TraceParent&, const TraceParent&) = default;
};

}
