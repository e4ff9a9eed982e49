#include "fault_matrix/cell.h"

#include "base/random_source.h"

#include <array>

namespace lycheefield::fault_matrix {

namespace {

constexpr std::array allOperations { Operation::Search, Operation::Record, Operation::Order, Operation::Apply, Operation::Join, Operation::Drain };

bool isControl(Operation operation)
{
    return operation == Operation::Apply || operation == Operation::Join;
}

/// Returns true for faults of backend servers and of requests: these affect rules and joins only while requests run.
bool isForRequestsOnly(Fault fault)
{
    switch (fault) {
    case Fault::Straggler:
    case Fault::ReplicaDown:
    case Fault::Repartition:
    case Fault::CrashRequest:
    case Fault::ServerDraining:
    case Fault::ServerAtConnectionCap:
        return true;
    default:
        return false;
    }
}

}

std::string Cell::name() const
{
    std::string text = std::string(nameOf(operation)) + "/" + std::string(nameOf(step));
    for (const auto it : faults)
        text += "/" + std::string(nameOf(it));
    return text + "/seed " + std::to_string(seed);
}

std::vector<std::string> run(const Cell& cell)
{
    if (!isControl(cell.operation))
        return runRequestCell(cell);
    // ControlTestBed has no servers and no requests, so faults of these run in RequestTestBed.
    auto control = cell;
    std::erase_if(control.faults, isForRequestsOnly);
    std::vector<std::string> violations;
    if (!control.faults.empty())
        violations = runControlCell(control);
    if (control.faults.size() < cell.faults.size()) {
        const auto others = runRequestCell(cell);
        violations.insert(violations.end(), others.begin(), others.end());
    }
    return violations;
}

std::vector<Cell> allCells(std::uint64_t seed)
{
    std::vector<Cell> cells;
    for (const auto operation : allOperations) {
        for (const auto step : stepsOf(operation)) {
            for (const auto fault : allFaults)
                cells.push_back({ operation, step, { fault }, seed, Mutation::None });
        }
    }
    return cells;
}

std::vector<Cell> randomPairs(std::uint64_t seed, std::size_t count)
{
    SeededRandom random(seed);
    std::vector<Cell> cells;
    while (cells.size() < count) {
        const auto operation = allOperations[random.below(allOperations.size())];
        const auto steps = stepsOf(operation);
        const auto step = steps[random.below(steps.size())];
        const auto first = allFaults[random.below(allFaults.size())];
        const auto second = allFaults[random.below(allFaults.size())];
        if (first != second)
            cells.push_back({ operation, step, { first, second }, seed + cells.size(), Mutation::None });
    }
    return cells;
}

}
