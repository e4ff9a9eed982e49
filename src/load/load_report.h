#pragma once

#include "load/load_plan.h"
#include "load/observation.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace lycheefield {

/// Figures of one request class on one side.
struct ClassFigures {
    std::uint64_t requests = 0;
    std::map<LoadOutcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons; ///< Counts by reason of the requests that have one.
    std::uint64_t inTime = 0; ///< Complete and partial answers within the class's deadline.
    Duration p50 {};
    Duration p90 {};
    Duration p99 {};
    Duration p999 {};
    Duration max {};

    friend bool operator==(const ClassFigures&, const ClassFigures&) = default;
};

/// Computes the figures of one class. The quantiles include every request that was sent, also cut ones; latency
/// is measured from the intended send time. Precondition: all observations are of one side and class.
ClassFigures figuresOf(const std::vector<const Observation*>&, Duration deadline);

/// Writes, for each side and class, one line "side=… class=… key=value …".
void writeReport(std::ostream&, const LoadPlan&, const std::vector<Observation>&);

/// Writes one line per observation after a header line.
void writeCsv(std::ostream&, const LoadPlan&, const std::vector<Observation>&);

}
