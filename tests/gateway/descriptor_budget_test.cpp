#include "gateway/descriptor_budget.h"

#include "http/http_limits.h"
#include "support/descriptor_limit.h"

#include <doctest/doctest.h>

#include <sys/resource.h>

#include <algorithm>

namespace lycheefield {

namespace {

std::uint64_t sumOf(const DescriptorBudget& budget)
{
    return budget.forCallers() + budget.forServers() + budget.rest();
}

}

TEST_CASE("The process's descriptors are divided between callers, backend servers and the rest" * doctest::test_suite("gateway"))
{
    const std::uint64_t most = HttpLimits().maxConnections;
    REQUIRE(most == 8192);

    SUBCASE("Callers get a half, servers five sixteenths, and the rest is kept")
    {
        struct Case {
            std::uint64_t limit;
            std::uint64_t callers;
            std::uint64_t servers;
            std::uint64_t rest;
        };
        for (const auto& it : { Case { 64, 32, 20, 12 }, Case { 512, 256, 160, 96 }, Case { 1024, 512, 320, 192 }, Case { 4100, 2050, 1281, 769 } }) {
            CAPTURE(it.limit);
            const auto budget = DescriptorBudget::divide(it.limit);
            CHECK(budget.limit() == it.limit);
            CHECK(budget.forCallers() == it.callers);
            CHECK(budget.forServers() == it.servers);
            CHECK(budget.rest() == it.rest);
        }
    }
    SUBCASE("The shares use the whole limit and no more, and each is at least one descriptor")
    {
        for (std::uint64_t limit = 3; limit < 40000; ++limit) {
            const auto budget = DescriptorBudget::divide(limit);
            CAPTURE(limit);
            REQUIRE(sumOf(budget) == limit);
            REQUIRE(budget.forCallers() >= 1);
            REQUIRE(budget.forServers() >= 1);
            REQUIRE(budget.rest() >= 1);
            REQUIRE(budget.forCallers() == std::min(std::max<std::uint64_t>(limit / 2, 1), most));
        }
    }
    SUBCASE("A large limit gives callers and servers the most that they may have, and the remainder to the rest")
    {
        const auto budget = DescriptorBudget::divide(1048576);
        CHECK(budget.forCallers() == most);
        CHECK(budget.forServers() == most);
        CHECK(budget.rest() == 1048576 - 2 * most);
        const auto largest = DescriptorBudget::divide(DescriptorBudget::unlimited - 1);
        CHECK(largest.forCallers() == most);
        CHECK(largest.forServers() == most);
        CHECK(sumOf(largest) == DescriptorBudget::unlimited - 1);
    }
    SUBCASE("Without a limit each share is the most that it may be")
    {
        static_assert(static_cast<std::uint64_t>(RLIM_INFINITY) == DescriptorBudget::unlimited);
        const auto budget = DescriptorBudget::divide(RLIM_INFINITY);
        CHECK(budget.limit() == DescriptorBudget::unlimited);
        CHECK(budget.forCallers() == most);
        CHECK(budget.forServers() == most);
        CHECK(budget.rest() == most);
    }
    SUBCASE("A limit that is too low for three owners still gives each one descriptor")
    {
        for (const std::uint64_t limit : { 0, 1, 2 }) {
            CAPTURE(limit);
            const auto budget = DescriptorBudget::divide(limit);
            CHECK(budget.forCallers() == 1);
            CHECK(budget.forServers() == 1);
            CHECK(budget.rest() == 1);
        }
    }
    SUBCASE("Equal limits are divided equally")
    {
        CHECK(DescriptorBudget::divide(512) == DescriptorBudget::divide(512));
        CHECK(DescriptorBudget::divide(512) < DescriptorBudget::divide(1024));
    }
    SUBCASE("The process's own limit is read when asked for")
    {
        const DescriptorLimit limit(200);
        CHECK(DescriptorBudget::ofProcess() == DescriptorBudget::divide(200));
    }
}

}
