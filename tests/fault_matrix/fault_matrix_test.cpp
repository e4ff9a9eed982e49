#include "fault_matrix/cell.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield::fault_matrix {

namespace {

constexpr std::uint64_t seed = 1;
constexpr std::size_t pairs = 60;

/// Returns how many cells report a violation while the mutation disables a safety mechanism. When none does, the cells don't test the mechanism.
std::size_t redCells(Mutation mutation, Operation operation, const std::vector<std::vector<Fault>>& faults)
{
    std::size_t red = 0;
    for (const auto step : stepsOf(operation)) {
        for (const auto& it : faults) {
            if (!run({ operation, step, it, seed, mutation }).empty())
                ++red;
        }
    }
    return red;
}

}

TEST_CASE("Every invariant holds under each fault at each step of each operation" * doctest::test_suite("fault-matrix"))
{
    CAPTURE(seed);
    for (const auto& cell : allCells(seed)) {
        const auto violations = run(cell);
        INFO(cell.name(), ": ", violations.empty() ? std::string() : violations.front());
        CHECK(violations.empty());
    }
}

TEST_CASE("Every invariant holds under random pairs of faults" * doctest::test_suite("fault-matrix"))
{
    CAPTURE(seed);
    for (const auto& cell : randomPairs(seed, pairs)) {
        const auto violations = run(cell);
        INFO(cell.name(), ": ", violations.empty() ? std::string() : violations.front());
        CHECK(violations.empty());
    }
}

TEST_CASE("History reports a server with more connections than its cap" * doctest::test_suite("fault-matrix"))
{
    History history;
    const ServerName server("desk-0-0");
    history.connectionCaps[server] = 10;
    history.maxConnections[server] = 10;
    CHECK(history.violations(TimePoint()).empty());
    history.maxConnections[server] = 11;
    CHECK(history.violations(TimePoint()).size() == 1);
}

TEST_CASE("The fault matrix reports a violation when a safety mechanism is disabled" * doctest::test_suite("fault-matrix"))
{
    SUBCASE("An order that is dispatched without a claim runs twice and is reported")
    {
        CHECK(redCells(Mutation::DispatchWithoutClaim, Operation::Order, { { Fault::Straggler } }) > 0);
    }
    SUBCASE("An order that is dispatched before its lost claim write is settled runs twice and is reported")
    {
        CHECK(redCells(Mutation::LostWriteTreatedAsSuccess, Operation::Order, { { Fault::WriteAnswerLost } }) > 0);
    }
    SUBCASE("Results that belong to another request are reported")
    {
        CHECK(redCells(Mutation::AnswersSwapped, Operation::Search, { { Fault::Straggler } }) > 0);
    }
    SUBCASE("Results of another partition epoch are reported")
    {
        CHECK(redCells(Mutation::VersionIgnoredByServers, Operation::Search, { { Fault::Repartition } }) > 0);
    }
    SUBCASE("A drain that does not wait for requests in flight is reported")
    {
        CHECK(redCells(Mutation::DrainWithoutWaiting, Operation::Drain, { { Fault::Straggler } }) > 0);
    }
    SUBCASE("New work for a draining server whose drain is not announced is reported")
    {
        CHECK(redCells(Mutation::DrainNotAnnounced, Operation::Search, { { Fault::ServerDraining } }) > 0);
    }
    SUBCASE("An order refused during a store outage and reported as not run, although an earlier request with its key ran, is reported")
    {
        CHECK(redCells(Mutation::RefusedClaimReportedNotRun, Operation::Order, { { Fault::StoreDown } }) > 0);
    }
    SUBCASE("Relays that don't share the connection cap of a server exceed it when ownership moves")
    {
        CHECK(redCells(Mutation::ConnectionCapNotShared, Operation::Search, { { Fault::InstanceKilled }, { Fault::LeaseHolderPaused }, { Fault::InstanceListStale } }) > 0);
    }
    SUBCASE("Without quarantine, a content that crashes servers crashes more of them than allowed")
    {
        CHECK(redCells(Mutation::NoQuarantine, Operation::Search, { { Fault::CrashRequest } }) > 0);
    }
}

}
