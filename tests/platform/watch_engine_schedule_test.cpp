#include "platform/engine_run.h"

#include <algorithm>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

constexpr Duration limit = 3s;

/// A store, and an instance that hears late of what the watching instance announces.
class LateLinks {
public:
    LateLinks(std::uint32_t rank, unsigned seed)
        : run(watchScheduleForRank(rank, limit), batchOf({ 4, 1 }))
        , m_random(seed)
        , m_announcedAt(run.now)
    {
    }

    /// Makes a change, and returns the time until it is known.
    Duration timeToLearn()
    {
        const auto changedAt = run.now;
        m_changes.push_back(changedAt);
        const auto number = numberAt(changedAt);
        while (run.engine.revision().number < number)
            step();
        return run.now - changedAt;
    }
    void pass(Duration time)
    {
        for (const auto end = run.now + time; run.now < end;)
            step();
    }

    Duration delay = 6s; ///< Of announcements.
    bool keepsChanging = false; ///< Whether the store changes all the time.
    bool losesNext = false; ///< The next call has no response.
    EngineRun run;

private:
    std::uint64_t numberAt(TimePoint at) const { return 1 + static_cast<std::uint64_t>(std::upper_bound(m_changes.begin(), m_changes.end(), at) - m_changes.begin()); }
    void pass(TimePoint at)
    {
        run.now = at;
        while (keepsChanging && (m_changes.empty() || run.now - m_changes.back() > 100ms))
            m_changes.push_back(m_changes.empty() ? run.now : m_changes.back() + 100ms);
    }
    void step()
    {
        run.advance(20ms);
        pass(run.now);
        announce();
        if (!run.isCalling())
            return;
        REQUIRE(run.watch);
        if (std::exchange(losesNext, false)) {
            pass(run.now + run.watch->wait + 600ms);
            return run.respond(failure(StoreStatus::Lost, 0));
        }
        pass(run.now + 2ms + 1ms * m_random.below(40));
        run.respond(changesBetween(run.watch->after.number, numberAt(run.now)));
    }
    /// Delivers what the watching instance announced that long ago: once within its longest watch.
    void announce()
    {
        constexpr auto period = limit / 4;
        if (run.now - m_announcedAt < period)
            return;
        const auto sentAt = run.now - delay;
        const auto from = numberAt(m_announcedAt - delay);
        m_announcedAt = run.now;
        run.announce(changesBetween(from, numberAt(sentAt)), { 4, from }, sentAt - period);
    }
    static WatchBatch changesBetween(std::uint64_t from, std::uint64_t to)
    {
        return batchOf({ 4, to }, to > from ? std::vector { object("x", to) } : std::vector<StoredObject> {});
    }

    SeededRandom m_random;
    TimePoint m_announcedAt;
    std::vector<TimePoint> m_changes;
};

}

TEST_CASE("An instance whose links to the others are slow applies each change within the limit by calls of its own")
{
    for (const std::uint32_t rank : { 0, 1, 2, 3, 5, 8, 9, 40 }) {
        for (unsigned seed = 0; seed < 24; ++seed) {
            CAPTURE(rank);
            CAPTURE(seed);
            SeededRandom random(seed);
            LateLinks links(rank, seed);
            links.keepsChanging = seed % 2 == 1;
            links.delay = std::vector<Duration> { 6s, 2s, 1s, 300ms }[seed % 4];
            for (int i = 0; i < 10; ++i) {
                links.pass(1ms * random.below(4000));
                links.losesNext = i % 2 == 1;
                REQUIRE(links.timeToLearn() < limit);
            }
        }
    }
}

TEST_CASE("A gap in the announcements does not put off a call that is due anyway")
{
    EngineRun run(watchScheduleForRank(9, limit), batchOf({ 4, 500 }));
    const auto due = run.engine.nextWake();
    run.now = due - 10ms;
    run.announce(batchOf({ 4, 520 }, { object("x", 520) }), { 4, 510 }, TimePoint {});
    CHECK(run.engine.nextWake() == due);
    run.announce(batchOf({ 5, 520 }, { object("x", 520) }), { 5, 510 }, TimePoint {});
    CHECK(run.engine.nextWake() == due);
}

TEST_CASE("A failed call for missing changes is repeated soon")
{
    EngineRun run(quiet, batchOf({ 4, 500 }));
    run.announce(batchOf({ 4, 520 }, { object("x", 520) }), { 4, 510 }, run.now);
    run.advance(1s);
    REQUIRE(run.watch);
    run.respond(failure(StoreStatus::Lost, 0));
    CHECK_FALSE(run.isCalling());
    run.advance(1s);
    REQUIRE(run.watch);
    CHECK(run.watch->after == StoreRevision { 4, 500 });
}

TEST_SUITE_END();

}
