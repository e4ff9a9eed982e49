#pragma once

#include "base/request_id.h"
#include "observe/span.h"

#include <cstddef>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

/// What is kept of one request, for /traces/ID and `lycheefield explain`.
struct Trace {
    RequestId request;
    std::string traceId;
    std::vector<Span> spans;
    std::vector<std::string> decisions; ///< In words, in the order they were taken.
    std::size_t droppedSpans = 0;

    friend bool operator==(const Trace&, const Trace&) = default;
};

/// Keeps the last traces of this process in bounded memory. Thread safe.
class TraceStore {
public:
    /// Precondition: both bounds are positive.
    TraceStore(std::size_t maxTraces, std::size_t maxSpansPerTrace);

    /// The oldest trace gives way when the store is full.
    void begin(const RequestId&, const std::string& traceId);
    /// Both are ignored when the trace is not, or no longer, kept.
    void addSpan(const RequestId&, Span);
    void addDecision(const RequestId&, std::string);
    std::optional<Trace> find(const RequestId&) const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_maxTraces;
    std::size_t m_maxSpans;
    std::list<RequestId> m_order;
    std::map<RequestId, Trace> m_traces;
};

/// The trace as OTLP JSON (one resourceSpans with one scope).
std::string toOtlpJson(const Trace&, const std::string& instance);

}
