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

/// Keeps what happened to the last requests, small while they run; spans are made from it only
/// when somebody reads a trace. Bounded. Thread safe.
class RequestLog {
public:
    /// Precondition: maxRequests > 0.
    explicit RequestLog(std::size_t maxRequests);

    /// The span of the whole request at the entry.
    void begin(const RequestId&, const TraceParent& caller, const std::string& path, TimePoint);
    void beginLegs(const InstanceName& relay, const WorkOrder&, TimePoint);
    void endLeg(const LegResult&, TimePoint);
    void recordDecision(const RequestId&, std::string decision, TimePoint);
    void end(const Answer&, TimePoint);

    /// Spans and decisions; empty when the request is not, or no longer, kept.
    std::optional<Trace> find(const RequestId&) const;

    /// What happened, one event a line in the order of time, in words; empty as above.
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

/// The span that the entry opens for a request.
SpanId entrySpanOf(const RequestId&);
/// The span of one attempt of a leg, and those below it. The same at every instance, so that ids
/// need not travel.
SpanId legSpanOf(const LegKey&);
SpanId queueSpanOf(const LegKey&);
SpanId serverSpanOf(const LegKey&);

}
