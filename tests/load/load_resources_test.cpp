#include "base/clock.h"
#include "load/load_runner.h"
#include "support/no_free_descriptors.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

namespace lycheefield {

using namespace std::chrono_literals;

// Guards against a load run that blames the instances for what the load tool couldn't send.
TEST_CASE("Requests for which the load tool has no descriptor count as not sent" * doctest::test_suite("load"))
{
    boost::asio::io_context io;
    const ScriptedServer server(io, { "" });
    LoadPlan plan;
    plan.sides.push_back({ "only", { server.endpoint() } });
    plan.classes.push_back({ "search", "/v1/search", RequestKind::Search, 1, {} });
    plan.ratePerSecond = 1000;
    plan.roundLength = 20ms;
    plan.warmUp = {};
    const SteadyClock clock;
    LoadRunner runner(plan, clock);
    std::vector<Observation> observations;
    {
        const NoFreeDescriptors none;
        observations = runner.run();
    }
    REQUIRE_FALSE(observations.empty());
    for (const auto& it : observations)
        CHECK(nameOf(it.outcome) == nameOf(LoadOutcome::NotSent));
}

}
