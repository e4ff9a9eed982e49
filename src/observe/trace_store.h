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

/// Trace of a request, for /traces/ID and `lycheefield explain`.
struct Trace {
    RequestId request;
    std::string traceId;
    std::vector<Span> spans;
    std::vector<std::string> decisions; ///< Descriptions for operators, in the order of the decisions.
    std::size_t droppedSpans = 0;

    friend bool operator==(const Trace&, const Trace&) = default;
};

/// Keeps the latest traces of the process in bounded memory. Thread safe.
class TraceStore {
public:
    /// Precondition: both bounds are positive.
    TraceStore(std::size_t maxTraces, std::size_t maxSpansPerTrace);

    /// Adds a trace; evicts the oldest when the store is full.
    void begin(const RequestId&, const std::string& traceId);
    /// addSpan and addDecision have no effect on a trace that is not in the store.
    void addSpan(const RequestId&, Span);
    void addDecision(const RequestId&, std::string);
    std::optional<Trace> find(const RequestId&) const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_maxTraces;
    std::size_t m_maxSpans;
    std::list<RequestId> m_insertionOrder;
    std::map<RequestId, Trace> m_traces;
};

/// Formats the trace as OTLP JSON (one resourceSpans entry with one scope).
std::string toOtlpJson(const Trace&, const std::string& instance);

}
