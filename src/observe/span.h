#pragma once

#include "base/request_id.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

/// Names one span within its trace. 0 means none.
using SpanId = StrongId<struct SpanIdTag, std::uint64_t>;

/// Time that one hop spent on a request.
struct Span {
    SpanId id;
    SpanId parent;
    std::string name; ///< "entry", "leg", "relay.queue", "server".
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;

    friend bool operator==(const Span&, const Span&) = default;
};

/// The W3C trace context that a caller sends and that goes on with each hop.
struct TraceParent {
    std::string traceId; ///< 32 hexadecimal digits.
    SpanId parent;

    /// An empty trace id when the header is malformed.
    static TraceParent parse(const std::string& header);
    std::string toString() const;

    friend bool operator==(const TraceParent&, const TraceParent&) = default;
};

}
