#include "load/load_report.h"

#include <algorithm>
#include <ostream>

namespace lycheefield {

namespace {

Duration quantile(const std::vector<Duration>& sorted, double p)
{
    if (sorted.empty())
        return {};
    const auto n = static_cast<std::size_t>(p * static_cast<double>(sorted.size()));
    return sorted[std::min(n, sorted.size() - 1)];
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

bool hasResult(const Observation& observation)
{
    return observation.outcome == LoadOutcome::Complete || observation.outcome == LoadOutcome::Partial;
}

void writeFigures(std::ostream& out, const ClassFigures& figures)
{
    out << " requests=" << figures.requests;
    for (const auto& [outcome, n] : figures.outcomes)
        out << ' ' << nameOf(outcome) << '=' << n;
    out << " in_time=" << figures.inTime << " p50_ms=" << toMilliseconds(figures.p50) << " p90_ms=" << toMilliseconds(figures.p90)
        << " p99_ms=" << toMilliseconds(figures.p99) << " p999_ms=" << toMilliseconds(figures.p999) << " max_ms=" << toMilliseconds(figures.max);
    for (const auto& [reason, n] : figures.reasons)
        out << " [" << reason << "]=" << n;
    out << '\n';
}

}

ClassFigures figuresOf(const std::vector<const Observation*>& observations, Duration deadline)
{
    ClassFigures figures;
    std::vector<Duration> latencies;
    for (const auto* it : observations) {
        ++figures.requests;
        ++figures.outcomes[it->outcome];
        if (!it->why.empty())
            ++figures.reasons[it->why];
        if (it->outcome != LoadOutcome::NotSent)
            latencies.push_back(it->latency);
        if (hasResult(*it) && (!deadline.count() || it->latency <= deadline))
            ++figures.inTime;
    }
    std::sort(latencies.begin(), latencies.end());
    figures.p50 = quantile(latencies, 0.5);
    figures.p90 = quantile(latencies, 0.9);
    figures.p99 = quantile(latencies, 0.99);
    figures.p999 = quantile(latencies, 0.999);
    figures.max = latencies.empty() ? Duration {} : latencies.back();
    return figures;
}

void writeReport(std::ostream& out, const LoadPlan& plan, const std::vector<Observation>& observations)
{
    for (std::uint32_t side = 0; side < plan.sides.size(); ++side) {
        for (std::uint32_t n = 0; n < plan.classes.size(); ++n) {
            std::vector<const Observation*> own;
            for (const auto& it : observations) {
                if (it.side == side && it.requestClass == n)
                    own.push_back(&it);
            }
            out << "side=" << plan.sides[side].name << " class=" << plan.classes[n].name;
            writeFigures(out, figuresOf(own, plan.classes[n].deadline));
        }
    }
}

void writeCsv(std::ostream& out, const LoadPlan& plan, const std::vector<Observation>& observations)
{
    out << "side,class,target,intended_us,latency_us,outcome,status,why,body\n";
    for (const auto& it : observations) {
        out << plan.sides[it.side].name << ',' << plan.classes[it.requestClass].name << ',' << it.target << ',' << it.intended.count() << ','
            << it.latency.count() << ',' << nameOf(it.outcome) << ',' << it.status << ',' << it.why << ',' << it.body << '\n';
    }
}

}
