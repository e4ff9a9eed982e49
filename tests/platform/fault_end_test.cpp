#include "platform/call_pause.h"
#include "platform/engine_run.h"

#include <array>

namespace lycheefield {

using namespace std::chrono_literals;

TEST_SUITE_BEGIN("platform");

namespace {

constexpr Duration limit = 3s;
/// Time from the end of a fault until changes are known within the limit.
constexpr Duration settlingTime = 4s;
constexpr Duration listTimeout = 800ms;
constexpr Duration watchMargin = 600ms;
constexpr Duration connectTimeout = 300ms;
constexpr std::uint32_t failuresBeforePause = 5;

/// What becomes of a call.
enum class Way : std::uint8_t { Sound,
    Rejects, ///< The store rejects each call at once.
    Silent, ///< No call has a response.
    NoConnection, ///< No connection is opened in time.
    NoResources,
    FewResources }; ///< Four of five connections can't be opened for lack of resources.
constexpr auto faults = std::to_array({ Way::Rejects, Way::Silent, Way::NoConnection, Way::NoResources });

/// The watchers of one instance, which call a store through one client. Announcements of other instances are so old that they prove nothing.
class Watchers {
public:
    Watchers(std::uint32_t rank, Duration proofLimit, std::uint64_t seed)
        : m_random(seed)
        , m_pause(failuresBeforePause, Backoff(20ms, 500ms, std::make_unique<SeededRandom>(seed)))
    {
        for (int i = 0; i < 3; ++i) {
            m_watchers.push_back(std::make_unique<Watcher>(watchScheduleForRank(rank, limit, proofLimit)));
            send(*m_watchers.back());
        }
        m_announceAt = m_now;
    }

    /// Takes the way to the store from now on. A call in flight when a fault of the store or of its link begins has no response.
    void setWay(Way way)
    {
        const bool begins = m_way == Way::Sound && way != Way::Sound && way != Way::FewResources;
        m_way = way;
        for (auto& it : m_watchers) {
            if (begins && it->isSent)
                it->answer = { it->timeoutAt, failure(StoreStatus::Lost, 0) };
        }
    }
    /// Another user of the client calls, for an object that does not exist.
    void callElsewhere()
    {
        const bool isRejected = m_way == Way::Rejects || m_way == Way::NoConnection;
        if (m_pause.left(m_now) == Duration {} && isRejected)
            m_pause.onRefusal(m_now);
    }
    void change()
    {
        ++m_number;
        for (auto& it : m_watchers) {
            if (it->isSent && it->run.watch && it->answer.batch.status == StoreStatus::Ok)
                it->answer = { m_now + transit(), changesAfter(it->run.watch->after.number) };
        }
    }
    void pass(Duration time)
    {
        for (const auto end = m_now + time; step(end);) { }
    }
    bool allKnow() const
    {
        return std::all_of(m_watchers.begin(), m_watchers.end(), [this](const auto& it) { return it->run.engine.revision().number == m_number; });
    }
    /// The most calls that one watcher has sent to the store.
    std::size_t mostSent() const
    {
        std::size_t most = 0;
        for (const auto& it : m_watchers)
            most = std::max(most, it->sent);
        return most;
    }
    Duration transit() { return 1ms * m_random.below(20); }

private:
    struct Answer {
        TimePoint at {};
        WatchBatch batch {};
    };
    struct Watcher {
        explicit Watcher(const WatchSchedule& schedule)
            : run(schedule)
        {
            run.start();
        }
        EngineRun run;
        bool isSent = false; ///< The call in flight has left the client.
        std::size_t sent = 0;
        TimePoint timeoutAt {};
        Answer answer {};
    };

    static TimePoint nextOf(const Watcher& watcher) { return watcher.run.isCalling() ? watcher.answer.at : watcher.run.engine.nextWake(); }

    /// Lets the next event happen; false when there is none until the end.
    bool step(TimePoint end)
    {
        const auto it = std::min_element(m_watchers.begin(), m_watchers.end(), [](const auto& a, const auto& b) { return nextOf(*a) < nextOf(*b); });
        const auto at = std::max(m_now, std::min(nextOf(**it), m_announceAt));
        m_now = std::min(at, end);
        if (at > end)
            return false;
        if (m_announceAt <= m_now)
            announce();
        else
            handle(**it);
        return true;
    }
    void handle(Watcher& watcher)
    {
        watcher.run.now = m_now;
        if (watcher.run.isCalling()) {
            const auto& batch = watcher.answer.batch;
            if (watcher.isSent && batch.status == StoreStatus::Unavailable)
                m_pause.onRefusal(m_now);
            else if (watcher.isSent)
                m_pause.onSuccess();
            watcher.isSent = false;
            watcher.run.respond(batch);
        } else {
            watcher.run.advance(Duration(1));
        }
        if (watcher.run.isCalling())
            send(watcher);
    }
    void announce()
    {
        m_announceAt = m_now + limit / 4;
        for (auto& it : m_watchers) {
            const bool wasCalling = it->run.isCalling();
            it->run.now = m_now;
            it->run.announce(batchOf({ 4, 1 }), { 4, 1 }, m_now - 2 * limit);
            if (!wasCalling && it->run.isCalling())
                send(*it);
        }
    }
    void send(Watcher& watcher)
    {
        auto& answer = watcher.answer;
        answer = { m_now, failure(StoreStatus::Unavailable, 0) };
        if (const auto left = m_pause.left(m_now); left > Duration {}) {
            answer.batch.cause = FailureCause::ClientPause;
            answer.batch.pauseLeft = left;
            return;
        }
        if (m_way == Way::NoResources || (m_way == Way::FewResources && m_random.below(5) > 0)) {
            answer.batch.cause = FailureCause::LocalResources;
            return;
        }
        watcher.isSent = true;
        ++watcher.sent;
        watcher.timeoutAt = m_now + (watcher.run.isListing ? listTimeout : watcher.run.watch->wait + watchMargin);
        if (m_way == Way::Sound || m_way == Way::FewResources)
            respond(watcher);
        else if (m_way == Way::Silent)
            answer = { watcher.timeoutAt, failure(StoreStatus::Lost, 0) };
        else
            answer.at += m_way == Way::Rejects ? transit() : connectTimeout;
    }
    void respond(Watcher& watcher)
    {
        const auto& run = watcher.run;
        const bool waits = run.watch && run.watch->after.number == m_number;
        const auto batch = changesAfter(run.watch ? run.watch->after.number : 0);
        watcher.answer = { m_now + (waits ? run.watch->wait : Duration {}) + transit(), batch };
    }
    WatchBatch changesAfter(std::uint64_t number) const
    {
        return batchOf({ 4, m_number }, number < m_number ? std::vector { object("x", m_number) } : std::vector<StoredObject> {});
    }

    SeededRandom m_random;
    CallPause m_pause;
    TimePoint m_now = TimePoint {} + 10 * hour;
    TimePoint m_announceAt {};
    Way m_way = Way::Sound;
    std::uint64_t m_number = 1;
    std::vector<std::unique_ptr<Watcher>> m_watchers;
};

}

TEST_CASE("A change made 4 s after the end of any fault of the calls is known within the limit at an instance of any rank")
{
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        const auto rank = static_cast<std::uint32_t>(seed % 10);
        CAPTURE(seed);
        CAPTURE(rank);
        SeededRandom random(seed);
        Watchers watchers(rank, random.below(2) == 0 ? Duration {} : Duration(5s), seed);
        watchers.pass(2s + 1ms * random.below(3000));
        const auto changesFault = 1 + random.below(8);
        for (std::uint64_t i = 0; i < changesFault; ++i) {
            watchers.setWay(faults.at(random.below(faults.size())));
            const auto calls = random.below(6);
            for (std::uint64_t call = 0; call < calls; ++call) {
                watchers.pass(1ms * random.below(600));
                watchers.callElsewhere();
            }
        }
        watchers.setWay(Way::Sound);
        watchers.pass(settlingTime);
        watchers.change();
        watchers.pass(limit);
        REQUIRE(watchers.allKnow());
    }
}

TEST_CASE("An instance that has resources for one of five calls knows each change within the limit")
{
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        const auto rank = static_cast<std::uint32_t>(seed % 10);
        CAPTURE(seed);
        CAPTURE(rank);
        SeededRandom random(seed);
        Watchers watchers(rank, random.below(2) == 0 ? Duration {} : Duration(5s), seed);
        watchers.pass(5s);
        watchers.setWay(Way::FewResources);
        for (int i = 0; i < 5; ++i) {
            watchers.pass(1ms * random.below(4000));
            watchers.change();
            watchers.pass(limit);
            REQUIRE(watchers.allKnow());
        }
    }
}

TEST_CASE("An instance whose calls the store rejects calls it as seldom as its back-off and its rank demand")
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const auto rank = static_cast<std::uint32_t>(seed % 10);
        CAPTURE(seed);
        CAPTURE(rank);
        Watchers watchers(rank, {}, seed);
        watchers.pass(5s);
        const auto before = watchers.mostSent();
        watchers.setWay(Way::Rejects);
        constexpr int seconds = 30;
        for (int i = 0; i < 2 * seconds; ++i) {
            watchers.pass(500ms);
            watchers.callElsewhere();
        }
        // The first pauses of a back-off are shorter than its longest one.
        constexpr int firstCalls = 6;
        const int callsPerMinute = rank > 2 ? 40 : 240;
        CHECK(watchers.mostSent() - before <= static_cast<std::size_t>(firstCalls + callsPerMinute * seconds / 60));
    }
}

TEST_SUITE_END();

}
