#pragma once

#include "base/time.h"

namespace lycheefield {

/// How much longer than usual a backend server says that its work takes, weighed against the observed latencies.
///
/// The report is only evidence against a server: a favourable report must not attract requests that the latencies
/// do not justify. A report loses its weight within a fraction of a second, because other users of the server's
/// machine come and go, and a server whose reports predict its latencies worse than its own recent latencies do is
/// no longer believed. Not thread safe.
class ReportedSlowdown {
public:
    /// Records a report; 1 means as usual. Precondition: slowdown > 0.
    void record(double slowdown, TimePoint);
    /// Compares the last report with the latency of a response. Both are multiples of the usual latency; observed is
    /// what was expected from earlier latencies alone.
    void recordSample(double sample, double observed, TimePoint);
    /// Returns the expected latency as a multiple of the usual one, which is at least the observed multiple.
    double combinedWith(double observed, TimePoint) const;

private:
    double weight(TimePoint) const;

    float m_slowdown = 1;
    float m_trust = 0.5F; ///< From 0 to 1.
    TimePoint m_reportedAt {};
};

}
