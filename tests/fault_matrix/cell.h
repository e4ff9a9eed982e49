#pragma once

#include "fault_matrix/fault.h"
#include "fault_matrix/request_test_bed.h"
#include "fault_matrix/step.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield::fault_matrix {

/// One or more faults, injected at one step of one operation.
struct Cell {
    Operation operation = Operation::Search;
    Step step = Step::Before;
    std::vector<Fault> faults;
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;

    std::string name() const;
};

/// Runs the cell in a test bed of its own. Returns a description of each violation; empty when every invariant holds.
std::vector<std::string> run(const Cell&);

/// Returns a cell for every fault at every step of every operation.
std::vector<Cell> allCells(std::uint64_t seed);
/// Returns cells with pairs of faults at random steps. The same seed gives the same cells.
std::vector<Cell> randomPairs(std::uint64_t seed, std::size_t count);

/// The parts of run(): in the test bed of requests, and in that of rules and membership.
std::vector<std::string> runRequestCell(const Cell&);
std::vector<std::string> runControlCell(const Cell&);

}
