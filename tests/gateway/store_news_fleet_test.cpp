#include "store_news_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration checkPeriod = 100ms;
constexpr unsigned seeds = 1000;
constexpr std::size_t objectCount = 5;
constexpr Duration measuredTime = 30s;

/// Draws what happens to a fleet: changes of objects, and faults.
class Trouble {
public:
    Trouble(StoreNewsFleet& fleet, unsigned seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
    }

    /// Writes or removes an object every now and then.
    void changeObjects()
    {
        if (m_fleet.store().health() == ModelStore::Health::Sound)
            changeOne();
        m_fleet.after(below(m_isBusy ? 300ms : 4s), [this] {
            if (below(8) == 0)
                m_isBusy = !m_isBusy;
            changeObjects();
        });
    }

    /// Gives the links between instances other delays every now and then; some stay as they are for long.
    void changeLinks()
    {
        drawDelays();
        m_fleet.after(1s + below(15s), [this] { changeLinks(); });
    }

    /// Holds or resets links every now and then.
    void harmLinks()
    {
        const auto a = below(m_fleet.size());
        const auto b = below(m_fleet.size());
        if (below(2) == 0)
            m_fleet.reset(a, b);
        else
            m_fleet.link(a, b).heldUntil = m_fleet.now() + below(10s);
        m_fleet.after(below(2s), [this] { harmLinks(); });
    }

    /// Pauses an instance, starts it again or cuts it off from the store every now and then.
    void harmInstances()
    {
        const auto node = below(m_fleet.size());
        switch (below(3)) {
        case 0:
            m_fleet.pause(node, below(6s));
            break;
        case 1:
            m_fleet.restart(node, 50ms + below(2s));
            break;
        default:
            m_fleet.cutFromStore(node, below(6s));
        }
        m_fleet.after(500ms + below(5s), [this] { harmInstances(); });
    }

    /// Lets the store be silent or refuse, lose its history, or come back from an older copy every now and then.
    void harmStore()
    {
        const auto kind = below(4);
        if (kind == 0)
            m_fleet.store().forgetHistory();
        if (kind == 1)
            interruptStore(below(3s), false);
        if (kind > 1)
            loseWrites();
        m_fleet.after(6s + below(14s), [this] { harmStore(); });
    }

    /// Lets the store drop its history often.
    void dropHistory()
    {
        m_fleet.store().forgetHistory();
        m_fleet.after(200ms + below(3s), [this] { dropHistory(); });
    }

    /// Brings the store back from an older copy every now and then, perhaps soon again.
    void restoreStore()
    {
        loseWrites();
        m_fleet.after(5200ms + below(12s), [this] { restoreStore(); });
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    Duration below(Duration bound) { return Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>(bound.count())))); }

    void changeOne()
    {
        auto& store = m_fleet.store();
        const auto key = "objects/" + std::to_string(below(objectCount));
        if (below(3) == 0)
            store.writeElsewhere(1 + below(5));
        if (below(4) == 0 && store.contains(key))
            store.remove(key);
        else
            store.put(key);
    }

    void loseWrites()
    {
        m_fleet.store().saveCopy();
        m_fleet.after(100ms + below(5s), [this] { interruptStore(below(2) == 0 ? Duration {} : below(2s), true); });
    }

    void interruptStore(Duration time, bool losesWrites)
    {
        auto& store = m_fleet.store();
        if (store.health() != ModelStore::Health::Sound)
            return;
        if (time > Duration {})
            store.setHealth(below(2) == 0 ? ModelStore::Health::Silent : ModelStore::Health::Refuses);
        m_fleet.after(time, [this, losesWrites, &store] {
            if (losesWrites)
                store.restoreCopy();
            store.setHealth(ModelStore::Health::Sound);
        });
    }

    void drawDelays()
    {
        const auto kind = below(5);
        const auto slow = below(m_fleet.size());
        const auto steady = below(8s);
        for (std::size_t a = 0; a < m_fleet.size(); ++a) {
            for (std::size_t b = 0; b < m_fleet.size(); ++b) {
                auto& link = m_fleet.link(a, b);
                const bool isSlow = kind == 1 || (kind == 2 && (a == slow || b == slow)) || (kind == 3 && below(2) == 0);
                link.delay = !isSlow ? Duration {} : kind == 3 ? below(8s)
                                                               : steady;
                link.jitter = kind == 4 ? 1500ms : 8ms;
            }
        }
    }

    StoreNewsFleet& m_fleet;
    std::mt19937_64 m_random;
    bool m_isBusy = false;
};

void checkFor(StoreNewsFleet& fleet, Duration time)
{
    for (Duration passed {}; passed < time; passed += checkPeriod) {
        fleet.runFor(checkPeriod);
        REQUIRE(fleet.findLate() == "");
    }
}

void delayAll(StoreNewsFleet& fleet, Duration delay)
{
    for (std::size_t a = 0; a < fleet.size(); ++a) {
        for (std::size_t b = 0; b < fleet.size(); ++b)
            fleet.link(a, b).delay = delay;
    }
}

std::size_t callsDuring(StoreNewsFleet& fleet, Duration time)
{
    const auto before = fleet.store().calls();
    fleet.runFor(time);
    return fleet.store().calls() - before;
}

/// Interrupts the store, which may come back without its last write, and returns the calls in the ten seconds after its return.
std::size_t callsAfterInterruption(StoreNewsFleet& fleet, bool losesWrites)
{
    auto& store = fleet.store();
    store.saveCopy();
    store.put("objects/1");
    fleet.runFor(10s);
    store.setHealth(ModelStore::Health::Refuses);
    fleet.runFor(500ms);
    if (losesWrites)
        store.restoreCopy();
    store.setHealth(ModelStore::Health::Sound);
    return callsDuring(fleet, 10s);
}

StoreNewsFleet::Settings drawnSettings(unsigned seed)
{
    return { .seed = seed, .instances = 8 + seed % 5, .zones = 1 + seed % 3, .proofLimit = seed % 2 == 0 ? Duration {} : 5s };
}

}

TEST_CASE("A change that a sound store acknowledged is in force in time on each sound instance, whatever the links between instances do" * doctest::test_suite("gateway"))
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        StoreNewsFleet fleet(drawnSettings(seed));
        Trouble trouble(fleet, seed);
        trouble.changeObjects();
        trouble.changeLinks();
        fleet.runFor(6s);
        trouble.harmLinks();
        if (seed % 4 > 0)
            trouble.harmInstances();
        if (seed % 3 > 0)
            trouble.harmStore();
        if (seed % 5 == 0)
            trouble.dropHistory();
        checkFor(fleet, 30s);
    }
}

TEST_CASE("After the store has come back from an older copy its changes are in force in time, and no instance holds what only the lost history had" * doctest::test_suite("gateway"))
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        StoreNewsFleet fleet(drawnSettings(seed));
        Trouble trouble(fleet, seed);
        trouble.changeObjects();
        if (seed % 2 == 0)
            trouble.changeLinks();
        fleet.runFor(6s);
        if (seed % 3 == 0)
            trouble.harmInstances();
        trouble.restoreStore();
        checkFor(fleet, 30s);
    }
}

TEST_CASE("The calls of a fleet to the store stay within what the schedules ask for" * doctest::test_suite("gateway"))
{
    for (const std::size_t instances : { 9, 72, 300 }) {
        CAPTURE(instances);
        StoreNewsFleet fleet({ .seed = instances, .instances = instances, .zones = 3 });
        fleet.store().put("objects/0");
        fleet.runFor(10s);
        SUBCASE("one instance watches while the links are sound")
        {
            CHECK(callsDuring(fleet, measuredTime) <= fleet.scheduledCalls(measuredTime, false));
        }
        SUBCASE("each instance calls by its own silence while all links are late")
        {
            delayAll(fleet, 6s);
            fleet.runFor(10s);
            CHECK(callsDuring(fleet, measuredTime) <= fleet.scheduledCalls(measuredTime, true));
        }
        SUBCASE("the store's return from an older copy costs at most twice its return without loss")
        {
            const auto withoutLoss = callsAfterInterruption(fleet, false);
            CHECK(callsAfterInterruption(fleet, true) <= 2 * withoutLoss);
        }
        SUBCASE("and also while all links are late")
        {
            delayAll(fleet, 6s);
            const auto withoutLoss = callsAfterInterruption(fleet, false);
            CHECK(callsAfterInterruption(fleet, true) <= 2 * withoutLoss);
        }
        CHECK(fleet.findLate() == "");
    }
}

}
