#pragma once

#include "fault_matrix/fault.h"
#include "fault_matrix/request_world.h"
#include "fault_matrix/step.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield::fault_matrix {

/// One fault, or several, at one step of one operation.
struct Cell {
    Operation operation = Operation::Search;
    Step step = Step::Before;
    std::vector<Fault> faults;
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;

    std::string name() const;
};

/// Runs the cell in a world of its own; what was violated, empty when all holds.
std::vector<std::string> run(const Cell&);

/// Every fault at every step of every operation.
std::vector<Cell> allCells(std::uint64_t seed);
/// Pairs of faults at random steps. The same seed gives the same cells.
std::vector<Cell> randomPairs(std::uint64_t seed, std::size_t count);

/// The parts of run(), by kind of world.
std::vector<std::string> runRequestCell(const Cell&);
std::vector<std::string> runControlCell(const Cell&);

}
