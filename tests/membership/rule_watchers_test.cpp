#include "membership/rule_watchers.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace lycheefield {

namespace {

std::vector<Instance> thirtyInstancesInThreeZones()
{
    std::vector<Instance> instances;
    for (int i = 0; i < 30; ++i) {
        Instance instance;
        instance.name = InstanceName("i" + std::to_string(i));
        instance.zone = ZoneName("z" + std::to_string(i % 3));
        instances.push_back(instance);
    }
    return instances;
}

std::set<InstanceName> watchersIn(const std::vector<Instance>& instances)
{
    std::set<InstanceName> watchers;
    const MembershipView view(instances);
    for (const auto& it : instances) {
        if (watchesRules(view, it.name, 2))
            watchers.insert(it.name);
    }
    return watchers;
}

}

TEST_CASE("Two instances of each zone watch the rules" * doctest::test_suite("membership"))
{
    auto instances = thirtyInstancesInThreeZones();
    const auto before = watchersIn(instances);
    std::map<ZoneName, int> perZone;
    for (const auto& it : instances)
        perZone[it.zone] += static_cast<int>(before.count(it.name));
    for (const auto& [zone, n] : perZone)
        CHECK(n == 2);

    SUBCASE("When a watcher becomes a suspect, one more instance watches and the other watchers stay")
    {
        for (auto& it : instances) {
            if (it.name == *before.begin())
                it.health = InstanceHealth::Suspect;
        }
        const auto after = watchersIn(instances);
        CHECK(after.size() == before.size() + 1);
        for (const auto& it : before)
            CHECK(after.contains(it));
    }
    SUBCASE("A watcher that leaves is replaced by another instance")
    {
        for (auto& it : instances) {
            if (it.name == *before.begin())
                it.health = InstanceHealth::Leaving;
        }
        const auto after = watchersIn(instances);
        CHECK(after.size() == before.size());
        CHECK_FALSE(after.contains(*before.begin()));
    }
    SUBCASE("An instance that is not in the view watches no rules")
    {
        CHECK_FALSE(watchesRules(MembershipView(instances), InstanceName("nobody"), 2));
    }
}

}
