#include "daemon/drain.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace lycheefield {

TEST_CASE("A drain stops the instance once nothing is in flight or at its limit" * doctest::test_suite("daemon"))
{
    boost::asio::io_context io;
    DrainSettings settings;
    settings.balancerLag = Duration {};
    std::size_t inFlight = 3;
    std::vector<std::string> steps;
    DrainParts parts;
    parts.inFlight = [&] {
        steps.emplace_back("in flight " + std::to_string(inFlight));
        return inFlight > 0 ? inFlight-- : 0;
    };
    parts.closeIdle = [] {};
    parts.stopLegs = [&] { steps.emplace_back("stop legs"); };
    parts.stop = [&] { steps.emplace_back("stop"); };

    SUBCASE("The drain refuses legs of other instances only once nothing is in flight")
    {
        std::make_shared<Drain>(io.get_executor(), std::make_shared<SteadyClock>(), settings, parts)->start();
        io.run();
        const std::vector<std::string> expected { "in flight 3", "in flight 2", "in flight 1", "in flight 0", "in flight 0", "in flight 0", "in flight 0", "in flight 0", "stop legs", "stop" };
        CHECK(steps == expected);
    }
    SUBCASE("The drain ends at its limit with requests in flight")
    {
        settings.limit = Duration {};
        std::make_shared<Drain>(io.get_executor(), std::make_shared<SteadyClock>(), settings, parts)->start();
        io.run();
        CHECK(steps.back() == "stop");
        CHECK(inFlight > 0);
    }
}

}
