#pragma once

#include "observe/bucket_histogram.h"
#include "observe/latency_summary.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lycheefield {

/// Monotonically increasing counter. Thread safe and lock free.
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// Registry of the counters, gauges, summaries and histograms of the process, by their Prometheus names.
///
/// Names start with "lycheefield_"; a name may carry labels, as in `lycheefield_legs_total{outcome="ok"}`.
/// Thread safe. References stay valid for the lifetime of the registry: look up a counter once and keep the reference.
class Metrics {
public:
    Counter& counter(const std::string& name);
    LatencySummary& latency(const std::string& name);
    BucketHistogram& histogram(const std::string& name);
    /// Registers a gauge whose value the function returns when the metrics are rendered. The function must be thread safe.
    void gauge(const std::string& name, std::function<double()>);

    /// Registers a counter that another object maintains. The function must be thread safe.
    void count(const std::string& name, std::function<std::uint64_t()> read);

    /// Returns all metrics in the Prometheus text format, version 0.0.4. Durations are in seconds.
    std::string render() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<LatencySummary>> m_latencies;
    std::map<std::string, std::unique_ptr<BucketHistogram>> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
    std::map<std::string, std::function<std::uint64_t()>> m_counts;
};

}
