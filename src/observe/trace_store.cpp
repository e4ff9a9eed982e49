#include "observe/trace_store.h"

#include <boost/json.hpp>

#include <cstdio>

namespace lycheefield {

TraceStore::TraceStore(std::size_t maxTraces, std::size_t maxSpansPerTrace)
    : m_maxTraces(maxTraces)
    , m_maxSpans(maxSpansPerTrace)
{
}

void TraceStore::begin(const RequestId& request, const std::string& traceId)
{
    const std::lock_guard lock(m_mutex);
    if (m_insertionOrder.size() >= m_maxTraces) {
        m_traces.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    Trace trace;
    trace.request = request;
    trace.traceId = traceId;
    if (m_traces.insert_or_assign(request, std::move(trace)).second)
        m_insertionOrder.push_back(request);
}

void TraceStore::addSpan(const RequestId& request, Span span)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_traces.find(request);
    if (it == m_traces.end())
        return;
    if (it->second.spans.size() >= m_maxSpans) {
        ++it->second.droppedSpans;
        return;
    }
    it->second.spans.push_back(std::move(span));
}

void TraceStore::addDecision(const RequestId& request, std::string text)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_traces.find(request);
    if (it != m_traces.end() && it->second.decisions.size() < m_maxSpans)
        it->second.decisions.push_back(std::move(text));
}

std::optional<Trace> TraceStore::find(const RequestId& request) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_traces.find(request);
    if (it == m_traces.end())
        return std::nullopt;
    return it->second;
}

namespace {

namespace json = boost::json;

std::string hexOf(SpanId id)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(id.value()));
    return buf;
}

json::object attributeOf(const std::string& key, const std::string& value)
{
    return { { "key", key }, { "value", json::object { { "stringValue", value } } } };
}

std::string nanosOf(TimePoint time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

json::object toJson(const Span& span, const std::string& traceId)
{
    json::array attributes;
    for (const auto& [key, value] : span.attributes)
        attributes.emplace_back(attributeOf(key, value));
    json::object object { { "traceId", traceId }, { "spanId", hexOf(span.id) }, { "name", span.name },
        { "startTimeUnixNano", nanosOf(span.start) }, { "endTimeUnixNano", nanosOf(span.end) }, { "attributes", std::move(attributes) } };
    if (span.parent.value())
        object["parentSpanId"] = hexOf(span.parent);
    return object;
}

}

std::string toOtlpJson(const Trace& trace, const std::string& instance)
{
    json::array spans;
    for (const auto& it : trace.spans)
        spans.emplace_back(toJson(it, trace.traceId));
    const json::object scope { { "scope", json::object { { "name", "lycheefield" } } }, { "spans", std::move(spans) } };
    const json::object resource { { "attributes", json::array { attributeOf("service.name", "lycheefieldd"), attributeOf("service.instance.id", instance) } } };
    return json::serialize(json::object { { "resourceSpans", json::array { json::object { { "resource", resource }, { "scopeSpans", json::array { scope } } } } } });
}

}
