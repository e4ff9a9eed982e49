#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"
#include "observe/span.h"
#include "observe/trace_store.h"
#include "query/answer.h"

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// Bounded log of the events of the most recent requests. Records are compact; spans are built only when a trace is
/// read. Thread safe.
class RequestLog {
public:
    /// Precondition: maxRequests > 0.
    explicit RequestLog(std::size_t maxRequests);

    /// Begins the record of a request, with its span at the entry. Evicts the oldest record when the log is full.
    void begin(const RequestId&, const TraceParent& caller, const std::string& path, TimePoint);
    void beginLegs(const InstanceName& relay, const WorkOrder&, TimePoint);
    void endLeg(const LegResult&, TimePoint);
    void recordDecision(const RequestId&, std::string decision, TimePoint);
    void end(const Answer&, TimePoint);

    /// Returns the spans and decisions of a request; empty when the log does not hold the request, or no longer.
    std::optional<Trace> find(const RequestId&) const;

    /// Returns the events of a request as text, one per line in the order of time; empty when the log does not hold it.
    std::optional<std::vector<std::string>> explain(const RequestId&) const;

private:
    struct LegRecord {
        LegOrder order;
        InstanceName relay;
        TimePoint start;
        TimePoint end = never;
        LegOutcome outcome = LegOutcome::Lost;
        Duration queueTime {};
        Duration serviceTime {};
        std::string detail;
    };
    struct Record {
        TraceParent caller;
        std::string path;
        TimePoint start;
        TimePoint end = never;
        std::string outcome;
        std::vector<LegRecord> legs;
        std::vector<std::pair<TimePoint, std::string>> decisions;
    };
    struct Stripe {
        mutable std::mutex mutex;
        std::unordered_map<RequestId, Record> records;
        std::deque<RequestId> order;
    };

    std::optional<Record> copyRecord(const RequestId&) const;
    Stripe& stripeOf(const RequestId& id) const { return m_stripes[id.counter % m_stripes.size()]; }
    static void addLegSpans(const RequestId&, const LegRecord&, Trace&);

    std::size_t m_maxPerStripe;
    mutable std::array<Stripe, 16> m_stripes;
};

/// Returns the id of the span that the entry opens for a request.
SpanId entrySpanOf(const RequestId&);
/// Ids of the span of one attempt of a leg and of its child spans. Every instance derives the same ids from the key,
/// so the wire carries none.
SpanId legSpanOf(const LegKey&);
SpanId queueSpanOf(const LegKey&);
SpanId serverSpanOf(const LegKey&);

}
