#pragma once

#include "load/load_plan.h"
#include "load/observation.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace lycheefield {

/// Figures of one class on one side.
struct ClassFigures {
    std::uint64_t requests = 0;
    std::map<LoadOutcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons; ///< Of what was not complete.
    std::uint64_t inTime = 0; ///< Complete or partial, within the class's deadline.
    Duration p50 {};
    Duration p90 {};
    Duration p99 {};
    Duration p999 {};
    Duration max {};

    friend bool operator==(const ClassFigures&, const ClassFigures&) = default;
};

/// Quantiles count every request that got an answer of any kind, or was cut; latency is from the
/// intended send time. Precondition: observations are of that side and class.
ClassFigures figuresOf(const std::vector<const Observation*>&, Duration deadline);

/// Writes, for each side and class, one line "side=… class=… key=value …".
void writeReport(std::ostream&, const LoadPlan&, const std::vector<Observation>&);

/// One line an observation, with a header line.
void writeCsv(std::ostream&, const LoadPlan&, const std::vector<Observation>&);

}
