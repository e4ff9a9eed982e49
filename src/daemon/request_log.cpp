#include "daemon/request_log.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <cstdio>

namespace lycheefield {

namespace {

constexpr std::size_t maxLegsKept = 4096;
constexpr std::size_t maxDecisionsKept = 256;

std::string formatMillis(Duration duration)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f ms", std::chrono::duration<double, std::milli>(duration).count());
    return buf.data();
}

SpanId deriveSpan(const RequestId& request, const LegKey* key, std::string_view kind)
{
    std::string text = request.toString();
    if (key)
        text += "/" + std::to_string(key->leg.value()) + "/" + std::to_string(key->attempt.value());
    text += kind;
    return SpanId(std::max<std::uint64_t>(1, stableHash(text)));
}

}

SpanId entrySpanOf(const RequestId& request)
{
    return deriveSpan(request, nullptr, "entry");
}

SpanId legSpanOf(const LegKey& key)
{
    return deriveSpan(key.request, &key, "leg");
}

SpanId queueSpanOf(const LegKey& key)
{
    return deriveSpan(key.request, &key, "queue");
}

SpanId serverSpanOf(const LegKey& key)
{
    return deriveSpan(key.request, &key, "server");
}

RequestLog::RequestLog(std::size_t maxRequests)
    : m_maxPerStripe(std::max<std::size_t>(1, maxRequests / std::tuple_size_v<decltype(m_stripes)>))
{
}

void RequestLog::begin(const RequestId& id, const TraceParent& caller, const std::string& path, TimePoint now)
{
    auto& stripe = stripeOf(id);
    const std::lock_guard lock(stripe.mutex);
    stripe.records[id] = { caller, path, now, never, {}, {}, {} };
    stripe.order.push_back(id);
    if (stripe.order.size() <= m_maxPerStripe)
        return;
    stripe.records.erase(stripe.order.front());
    stripe.order.pop_front();
}

void RequestLog::beginLegs(const InstanceName& relay, const WorkOrder& work, TimePoint now)
{
    auto& stripe = stripeOf(work.request);
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.records.find(work.request);
    if (it == stripe.records.end())
        return;
    auto& legs = it->second.legs;
    for (const auto& leg : work.legs) {
        if (legs.size() < maxLegsKept)
            legs.push_back({ leg, relay, now, never, LegOutcome::Lost, {}, {}, {} });
    }
}

void RequestLog::endLeg(const LegResult& result, TimePoint now)
{
    auto& stripe = stripeOf(result.key.request);
    const std::lock_guard lock(stripe.mutex);
    const auto record = stripe.records.find(result.key.request);
    if (record == stripe.records.end())
        return;
    auto& legs = record->second.legs;
    const auto it = std::find_if(legs.begin(), legs.end(),
        [&](const LegRecord& leg) { return leg.order.leg == result.key.leg && leg.order.attempt == result.key.attempt && leg.end == never; });
    if (it == legs.end())
        return;
    it->end = now;
    it->outcome = result.outcome;
    it->queueTime = result.queueTime;
    it->serviceTime = result.serviceTime;
    it->detail = result.detail;
}

void RequestLog::recordDecision(const RequestId& id, std::string decision, TimePoint now)
{
    auto& stripe = stripeOf(id);
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.records.find(id);
    if (it != stripe.records.end() && it->second.decisions.size() < maxDecisionsKept)
        it->second.decisions.emplace_back(now, std::move(decision));
}

void RequestLog::end(const Answer& answer, TimePoint now)
{
    auto& stripe = stripeOf(answer.request);
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.records.find(answer.request);
    if (it == stripe.records.end())
        return;
    it->second.end = now;
    if (answer.refusal)
        it->second.outcome = std::string(toString(answer.refusal->kind));
    else
        it->second.outcome = answer.isComplete() ? "complete" : "partial";
}

void RequestLog::addLegSpans(const RequestId& id, const LegRecord& leg, Trace& trace)
{
    const LegKey key { id, leg.order.leg, leg.order.attempt };
    Span span { legSpanOf(key), entrySpanOf(id), "leg", leg.start, leg.end, {} };
    span.attributes = { { "shard", std::to_string(leg.order.shard.value()) }, { "server", leg.order.server.value() }, { "relay", leg.relay.value() },
        { "attempt", std::to_string(leg.order.attempt.value()) } };
    if (leg.order.isHedge)
        span.attributes.emplace_back("hedge", "true");
    if (leg.end == never) {
        span.end = leg.start;
        span.attributes.emplace_back("outcome", "no answer yet");
        trace.spans.push_back(std::move(span));
        return;
    }
    span.attributes.emplace_back("outcome", std::string(toString(leg.outcome)));
    if (!leg.detail.empty())
        span.attributes.emplace_back("detail", leg.detail);
    trace.spans.push_back(std::move(span));
    // The clocks of two instances are not compared: time not spent at the relay counts as network time, half of it each way.
    const auto networkTime = std::max(Duration {}, leg.end - leg.start - leg.queueTime - leg.serviceTime);
    const auto arrived = leg.start + networkTime / 2;
    const auto sent = arrived + leg.queueTime;
    trace.spans.push_back({ queueSpanOf(key), legSpanOf(key), "relay.queue", arrived, sent, {} });
    if (leg.serviceTime > Duration {})
        trace.spans.push_back({ serverSpanOf(key), legSpanOf(key), "server", sent, sent + leg.serviceTime, { { "server", leg.order.server.value() } } });
}

std::optional<RequestLog::Record> RequestLog::copyRecord(const RequestId& id) const
{
    const auto& stripe = stripeOf(id);
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.records.find(id);
    if (it == stripe.records.end())
        return std::nullopt;
    return it->second;
}

std::optional<Trace> RequestLog::find(const RequestId& id) const
{
    const auto record = copyRecord(id);
    if (!record)
        return std::nullopt;
    Trace trace;
    trace.request = id;
    trace.traceId = record->caller.traceId;
    const auto end = record->end == never ? record->start : record->end;
    trace.spans.push_back({ entrySpanOf(id), record->caller.parent, "entry", record->start, end, { { "path", record->path }, { "outcome", record->outcome } } });
    for (const auto& it : record->legs)
        addLegSpans(id, it, trace);
    for (const auto& [time, text] : record->decisions)
        trace.decisions.push_back(text);
    return trace;
}

std::optional<std::vector<std::string>> RequestLog::explain(const RequestId& id) const
{
    const auto record = copyRecord(id);
    if (!record)
        return std::nullopt;
    std::vector<std::pair<TimePoint, std::string>> events { { record->start, "request arrived at path " + record->path } };
    events.insert(events.end(), record->decisions.begin(), record->decisions.end());
    for (const auto& it : record->legs) {
        const std::string name = std::string(it.order.isHedge ? "hedge of " : "") + "leg " + std::to_string(it.order.leg.value()) + ", attempt "
            + std::to_string(it.order.attempt.value()) + " (shard " + std::to_string(it.order.shard.value()) + ")";
        events.emplace_back(it.start, name + " sent to server " + it.order.server.value() + " through relay " + it.relay.value());
        if (it.end == never)
            continue;
        events.emplace_back(it.end, name + " ended: " + std::string(toString(it.outcome)) + ", " + formatMillis(it.queueTime) + " in the relay's queue, " + formatMillis(it.serviceTime) + " at the server" + (it.detail.empty() ? "" : "; " + it.detail));
    }
    if (record->end != never)
        events.emplace_back(record->end, "request answered: " + record->outcome);
    std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> lines;
    for (const auto& [time, text] : events)
        lines.push_back(formatMillis(time - record->start) + ": " + text);
    return lines;
}

}
