#include "observe/metrics.h"

#include <limits>
#include <sstream>

namespace lycheefield {

namespace {

std::string baseName(const std::string& name)
{
    return name.substr(0, name.find('{'));
}

/// Writes the TYPE line unless the metric's previous label set already has.
void writeType(std::ostream& out, std::string& last, const std::string& name, const char* type)
{
    const auto base = baseName(name);
    if (base == last)
        return;
    out << "# TYPE " << base << ' ' << type << '\n';
    last = base;
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void writeSummary(std::ostream& out, const std::string& name, const LatencySummary::Values& values)
{
    out << name << "{quantile=\"0.5\"} " << inSeconds(values.p50) << '\n';
    out << name << "{quantile=\"0.9\"} " << inSeconds(values.p90) << '\n';
    out << name << "{quantile=\"0.99\"} " << inSeconds(values.p99) << '\n';
    out << name << "{quantile=\"0.999\"} " << inSeconds(values.p999) << '\n';
    out << name << "_sum " << inSeconds(values.sum) << '\n';
    out << name << "_count " << values.count << '\n';
}

}

Counter& Metrics::counter(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    auto& it = m_counters[name];
    if (!it)
        it = std::make_unique<Counter>();
    return *it;
}

LatencySummary& Metrics::latency(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    auto& it = m_latencies[name];
    if (!it)
        it = std::make_unique<LatencySummary>();
    return *it;
}

BucketHistogram& Metrics::histogram(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    auto& it = m_histograms[name];
    if (!it)
        it = std::make_unique<BucketHistogram>();
    return *it;
}

void Metrics::gauge(const std::string& name, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name] = std::move(read);
}

void Metrics::count(const std::string& name, std::function<std::uint64_t()> read)
{
    const std::lock_guard lock(m_mutex);
    m_counts[name] = std::move(read);
}

std::string Metrics::render() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    std::string last;
    for (const auto& [name, counter] : m_counters) {
        writeType(out, last, name, "counter");
        out << name << ' ' << counter->value() << '\n';
    }
    for (const auto& [name, read] : m_counts) {
        writeType(out, last, name, "counter");
        out << name << ' ' << read() << '\n';
    }
    for (const auto& [name, read] : m_gauges) {
        writeType(out, last, name, "gauge");
        out << name << ' ' << read() << '\n';
    }
    for (const auto& [name, latency] : m_latencies) {
        writeType(out, last, name, "summary");
        writeSummary(out, name, latency->values());
    }
    for (const auto& [name, histogram] : m_histograms) {
        writeType(out, last, name, "histogram");
        histogram->write(out, name);
    }
    return out.str();
}

}
