#include "fault_matrix/cell.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <map>

using namespace lycheefield::fault_matrix;

namespace {

struct Totals {
    std::size_t cells = 0;
    std::size_t red = 0;
};

void report(const Cell& cell, const std::vector<std::string>& violations)
{
    std::cout << "red " << cell.name() << '\n';
    for (const auto& it : violations)
        std::cout << "    " << it << '\n';
}

bool runOne(const Cell& cell, Totals& totals)
{
    const auto violations = run(cell);
    ++totals.cells;
    if (violations.empty())
        return true;
    ++totals.red;
    report(cell, violations);
    return false;
}

void printGrid(const std::vector<Cell>& cells, const std::vector<bool>& isGreen)
{
    std::map<std::string, std::string> rows;
    std::vector<std::string> order;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const auto row = std::string(nameOf(cells[i].operation)) + "/" + std::string(nameOf(cells[i].step));
        if (!rows.contains(row))
            order.push_back(row);
        const auto column = static_cast<std::size_t>(cells[i].faults.front());
        rows[row].resize(allFaults.size(), '.');
        rows[row][column] = isGreen[i] ? 'g' : 'R';
    }
    std::cout << "columns:";
    for (const auto it : allFaults)
        std::cout << ' ' << nameOf(it);
    std::cout << "\ng green, R red, . not run: the fault does not affect the operation\n";
    for (const auto& it : order)
        std::cout << rows[it] << ' ' << it << '\n';
}

}

int main(int argc, char** argv)
{
    CLI::App app("Runs every fault at every step of every operation, on a virtual clock");
    std::uint64_t seed = 1;
    std::size_t pairs = 200;
    std::string only;
    app.add_option("--seed", seed, "Seed of the test beds and of the random pairs")->capture_default_str();
    app.add_option("--pairs", pairs, "Number of random pairs of faults to run after the grid")->capture_default_str();
    app.add_option("--only", only, "Run only cells whose name contains this text");
    CLI11_PARSE(app, argc, argv);
    Totals totals;
    std::vector<Cell> cells;
    std::vector<bool> isGreen;
    for (const auto& it : allCells(seed)) {
        if (it.name().find(only) == std::string::npos)
            continue;
        cells.push_back(it);
        isGreen.push_back(runOne(it, totals));
    }
    printGrid(cells, isGreen);
    for (const auto& it : randomPairs(seed, pairs)) {
        if (it.name().find(only) != std::string::npos)
            runOne(it, totals);
    }
    std::cout << "cells=" << totals.cells << " green=" << totals.cells - totals.red << " red=" << totals.red << '\n';
    return totals.red ? 1 : 0;
}
