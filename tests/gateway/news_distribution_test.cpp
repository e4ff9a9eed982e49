#include "gateway/news_distribution.h"
#include "platform/watch_schedule.h"

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

NewsDistribution distributionOf(const Instance& self)
{
    NewsDistribution distribution(self.name, self.zone);
    distribution.onPeers(fleet());
    return distribution;
}

}

TEST_CASE("A quarantine reaches an instance that missed its announcement although two of its neighbours are gone" * doctest::test_suite("gateway"))
{
    std::multiset<InstanceName> notified;
    for (const auto& it : fleet()) {
        const auto recipients = distributionOf(it).crashNewsRecipients();
        CHECK(std::find(recipients.begin(), recipients.end(), it.name) == recipients.end());
        notified.insert(recipients.begin(), recipients.end());
    }
    for (const auto& it : fleet())
        CHECK(notified.count(it.name) == NewsDistribution::maxCrashNewsRecipients);

    NewsDistribution alone(InstanceName("a0"), ZoneName("a"));
    alone.onPeers({ fleet().front() });
    CHECK(alone.crashNewsRecipients().empty());
}

TEST_CASE("An instance that reads the store in place of the one that watches it tells that one as well" * doctest::test_suite("gateway"))
{
    // The first instance may be cut off from the store only, and be the only one of its zone.
    std::vector<Instance> instances;
    for (const auto* zone : { "a", "b", "c", "a" }) {
        Instance it;
        it.name = InstanceName("g" + std::to_string(instances.size()));
        it.zone = ZoneName(zone);
        instances.push_back(it);
    }
    std::vector<NewsDistribution> distributions;
    for (const auto& it : instances) {
        distributions.emplace_back(it.name, it.zone);
        distributions.back().onPeers(instances);
    }
    const auto first = std::find_if(distributions.begin(), distributions.end(), [](const auto& it) { return it.rank() == 0; });
    REQUIRE(first != distributions.end());
    const auto firstName = instances[static_cast<std::size_t>(first - distributions.begin())].name;
    for (const auto& it : distributions) {
        const auto recipients = it.recipients();
        CHECK(std::set<InstanceName>(recipients.begin(), recipients.end()).size() == recipients.size());
        if (it.rank() > 0)
            CHECK(std::count(recipients.begin(), recipients.end(), firstName) == 1);
    }
}

TEST_CASE("Exactly one instance of the fleet watches the store" * doctest::test_suite("gateway"))
{
    const auto instances = fleet();
    std::vector<Instance> first;
    for (const auto& it : instances) {
        if (distributionOf(it).rank() == 0)
            first.push_back(it);
    }
    REQUIRE(first.size() == 1);
    CHECK(first.front().cores == 0.5);

    SUBCASE("every other instance receives a change exactly once, and the change enters each other zone once")
    {
        const auto sender = first.front();
        std::multiset<InstanceName> notified;
        int crossings = 0;
        for (const auto& name : distributionOf(sender).recipients()) {
            notified.insert(name);
            const auto it = std::find_if(instances.begin(), instances.end(), [&](const auto& instance) { return instance.name == name; });
            crossings += it->zone != sender.zone ? 1 : 0;
            for (const auto& next : distributionOf(*it).recipientsOfNewsFrom(sender.name))
                notified.insert(next);
        }
        CHECK(notified.size() == instances.size() - 1);
        CHECK(std::set<InstanceName>(notified.begin(), notified.end()).size() == notified.size());
        CHECK(crossings == 2);
    }
    SUBCASE("the instances of a zone have distinct ranks, in whose order they query the store when no news arrives")
    {
        std::set<std::uint32_t> ranks;
        for (const auto& it : instances) {
            if (it.zone == ZoneName("b"))
                ranks.insert(distributionOf(it).rank());
        }
        CHECK(ranks.size() == 5);
        CHECK(*ranks.rbegin() <= 5);
    }
    SUBCASE("an instance that queried the store itself sends its news to its zone and to the one that watches, and no recipient forwards the news")
    {
        const auto it = std::find_if(instances.begin(), instances.end(), [](const auto& instance) { return distributionOf(instance).rank() == 2; });
        const auto recipients = distributionOf(*it).recipients();
        CHECK(recipients.size() == (it->zone == first.front().zone ? 4 : 5));
        CHECK(std::count(recipients.begin(), recipients.end(), first.front().name) == 1);
        for (const auto& name : recipients) {
            const auto other = std::find_if(instances.begin(), instances.end(), [&](const auto& instance) { return instance.name == name; });
            CHECK(distributionOf(*other).recipientsOfNewsFrom(it->name).empty());
        }
    }
    SUBCASE("instances that start ask a few instances of their zone for the state, not all of them the same one")
    {
        std::set<InstanceName> asked;
        for (const auto& it : instances) {
            const auto sources = distributionOf(it).stateSources();
            REQUIRE_FALSE(sources.empty());
            CHECK(sources.size() <= NewsDistribution::maxStateSources);
            CHECK(std::find(sources.begin(), sources.end(), it.name) == sources.end());
            CHECK(sources.front().value().substr(0, 1) == it.zone.value());
            asked.insert(sources.front());
        }
        CHECK(asked.size() > 3);
    }
    SUBCASE("an instance that knows no other instance watches the store")
    {
        const NewsDistribution alone(InstanceName("x"), ZoneName("a"));
        CHECK(alone.rank() == 0);
        CHECK(alone.recipients().empty());
    }
}

TEST_CASE("An instance that receives no news queries the store within the limit" * doctest::test_suite("gateway"))
{
    constexpr Duration limit = 3s;
    constexpr Duration call = 800ms; // The time until a call has failed.
    for (std::uint32_t rank = 1; rank < 80; ++rank) {
        const auto turn = watchScheduleForRank(rank, limit);
        CHECK(turn.maxSilence > limit / 4);
        CHECK(turn.maxSilence + call < limit);
        CHECK(turn.maxUnproven < limit);
        CHECK(turn.maxSilence >= watchScheduleForRank(rank - 1, limit).maxSilence);
    }
    // During an outage the first ranks retry quickly; the others retry in time for the limit without them.
    CHECK(watchScheduleForRank(0, limit).retryPause == Duration {});
    CHECK(watchScheduleForRank(1, limit).retryPause == Duration {});
    CHECK(watchScheduleForRank(20, limit).retryPause >= limit / 4);
    CHECK(watchScheduleForRank(20, limit).retryPause + call < limit);
    CHECK(watchScheduleForRank(0, limit).maxSilence == Duration {});
    CHECK(watchScheduleForRank(0, limit).wait * 2 < watchScheduleForRank(1, limit).maxSilence + 1ms);
    CHECK(watchScheduleForRank(0, limit).maxSilenceAfterFailure + call < limit);
}

}
