#include "gateway/news_distribution.h"
#include "platform/watch_turn.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

std::vector<Instance> fleet()
{
    std::vector<Instance> instances;
    for (const auto* zone : { "a", "b", "c" }) {
        for (int i = 0; i < 5; ++i) {
            Instance it;
            it.name = InstanceName(zone + std::to_string(i));
            it.zone = ZoneName(zone);
            it.cores = i == 3 ? 0.5 : 0.25;
            instances.push_back(it);
        }
    }
    return instances;
}

NewsDistribution pathsOf(const Instance& self)
{
    NewsDistribution paths(self.name, self.zone);
    paths.onPeers(fleet());
    return paths;
}

}

TEST_CASE("one instance of the fleet watches the store" * doctest::test_suite("gateway"))
{
    const auto instances = fleet();
    std::vector<Instance> first;
    for (const auto& it : instances) {
        if (pathsOf(it).rank() == 0)
            first.push_back(it);
    }
    REQUIRE(first.size() == 1);
    CHECK(first.front().cores == 0.5);

    SUBCASE("and everybody hears of a change, each once, which crosses to each zone once")
    {
        const auto sender = first.front();
        std::multiset<InstanceName> heard;
        int crossings = 0;
        for (const auto& name : pathsOf(sender).recipients()) {
            heard.insert(name);
            const auto it = std::find_if(instances.begin(), instances.end(), [&](const auto& instance) { return instance.name == name; });
            crossings += it->zone != sender.zone ? 1 : 0;
            for (const auto& next : pathsOf(*it).recipientsOfNewsFrom(sender.name))
                heard.insert(next);
        }
        CHECK(heard.size() == instances.size() - 1);
        CHECK(std::set<InstanceName>(heard.begin(), heard.end()).size() == heard.size());
        CHECK(crossings == 2);
    }
    SUBCASE("the others take turns in their zone when they hear nothing")
    {
        std::set<std::uint32_t> ranks;
        for (const auto& it : instances) {
            if (it.zone == ZoneName("b"))
                ranks.insert(pathsOf(it).rank());
        }
        CHECK(ranks.size() == 5);
        CHECK(*ranks.rbegin() <= 5);
    }
    SUBCASE("one that asked the store itself tells its zone and nobody passes it on")
    {
        const auto it = std::find_if(instances.begin(), instances.end(), [](const auto& instance) { return pathsOf(instance).rank() == 2; });
        const auto told = pathsOf(*it).recipients();
        CHECK(told.size() == 4);
        for (const auto& name : told) {
            const auto other = std::find_if(instances.begin(), instances.end(), [&](const auto& instance) { return instance.name == name; });
            CHECK(pathsOf(*other).recipientsOfNewsFrom(it->name).empty());
        }
    }
    SUBCASE("an instance that knows no others watches")
    {
        const NewsDistribution alone(InstanceName("x"), ZoneName("a"));
        CHECK(alone.rank() == 0);
        CHECK(alone.recipients().empty());
    }
}

TEST_CASE("whoever hears nothing asks the store in time" * doctest::test_suite("gateway"))
{
    constexpr Duration limit = 3s;
    constexpr Duration call = 800ms; // Until it counts as failed.
    for (std::uint32_t rank = 1; rank < 80; ++rank) {
        const auto turn = watchTurn(rank, limit);
        CHECK(turn.patience > limit / 4);
        CHECK(turn.patience + call < limit);
        CHECK(turn.patience >= watchTurn(rank - 1, limit).patience);
    }
    CHECK(watchTurn(0, limit).patience == Duration {});
    CHECK(watchTurn(0, limit).wait * 2 < watchTurn(1, limit).patience + 1ms);
    CHECK(watchTurn(0, limit).failingPatience + call < limit);
}

}
