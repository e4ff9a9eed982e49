#include "admission/configuration_freshness.h"
#include "gateway/news_distribution.h"
#include "platform/watch_schedule.h"
#include "wire/peer_clock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration limit = 5s;
constexpr Duration tick = 5ms;

/// A connection to another process.
struct Session {
    ProcessLife life; ///< Of the process at the other end.
    PeerClock clock;
    bool isOpen = false; ///< Both ends have introduced themselves.
    std::vector<std::function<void()>> waiting; ///< What is sent once it is open.
};

/// One instance: the watcher's rules for calls and proofs, with the real schedule, clocks, distribution and freshness.
struct Node {
    explicit Node(Instance self)
        : instance(std::move(self))
        , distribution(instance.name, instance.zone)
    {
    }

    /// Starts another process, perhaps on a machine that was started anew.
    void restart(ProcessLife life, Duration offset)
    {
        instance.life = life;
        clockOffset = offset;
        freshness = std::make_unique<ConfigurationFreshness>(limit);
        sessions.clear();
        confirmedAt = provenAt = calledAt = {};
        isCalling = false;
    }

    Instance instance;
    Duration clockOffset {};
    WatchSchedule schedule;
    NewsDistribution distribution;
    std::unique_ptr<ConfigurationFreshness> freshness = std::make_unique<ConfigurationFreshness>(limit);
    std::map<InstanceName, Session> sessions;
    std::uint64_t version = 1;
    TimePoint calledAt {}, provenAt {}, confirmedAt {}, pausedUntil {}, cutUntil {}, nextCall {};
    bool isCalling = false;
    bool isDead = false;
};

/// A fleet in virtual time. A cut link and a paused process hold messages and pass them on later.
class Fleet {
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        std::vector<Instance> instances;
        for (const auto* zone : { "a", "b", "c" }) {
            for (int i = 0; i < 4; ++i) {
                Instance it;
                it.name = InstanceName(zone + std::to_string(i));
                it.zone = ZoneName(zone);
                it.life = ProcessLife(m_random());
                instances.push_back(it);
            }
        }
        for (const auto& it : instances)
            m_nodes.emplace(it.name, std::make_unique<Node>(it));
        for (auto* it : nodes())
            it->clockOffset = 1s * (m_random() % 100000);
        rank(instances);
    }

    Node& first()
    {
        return *std::find_if(m_nodes.begin(), m_nodes.end(), [](const auto& it) { return !it.second->isDead && it.second->schedule.maxSilence == Duration {}; })->second;
    }
    Node& at(const std::string& name) { return *m_nodes.at(InstanceName(name)); }
    std::vector<Node*> nodes()
    {
        std::vector<Node*> all;
        for (auto& [name, node] : m_nodes)
            all.push_back(node.get());
        return all;
    }
    TimePoint now() const { return m_now; }
    TimePoint clockOf(const Node& node) const { return m_now + node.clockOffset; }
    bool isRunning(const Node& node) const { return !node.isDead && m_now >= node.pausedUntil; }
    bool isFresh(const Node& node) const { return node.freshness->isFresh(clockOf(node)); }
    void removeKey()
    {
        m_storeVersion = 2;
        m_removedAt = m_now;
    }
    /// Whether the instance would run a request of the removed key that was sent too late.
    bool admitsTooLate(const Node& node) const { return isRunning(node) && isFresh(node) && node.version < m_storeVersion && m_now > m_removedAt + limit; }

    /// Runs for the time and calls the check after each step.
    void run(Duration time, const std::function<void()>& check)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            check();
            for (auto it = m_events.begin(); it != m_events.end() && it->first <= m_now; it = m_events.erase(it)) {
                it->second();
                check();
            }
            for (auto* node : nodes()) {
                if (isRunning(*node) && !node->isCalling && m_now >= node->nextCall && nextCallAt(*node) <= clockOf(*node))
                    call(*node);
            }
        }
    }

    Duration maxDelay = 8ms;
    std::size_t calls = 0;

private:
    void rank(const std::vector<Instance>& instances)
    {
        for (auto* node : nodes()) {
            node->distribution.onPeers(instances);
            node->schedule = watchScheduleForRank(node->distribution.rank(), limit, limit);
        }
    }

    /// Delivers when both ends are in touch and the receiver runs; never to a later process. Null stands for the store.
    void deliver(Node* from, Node* to, std::function<void()> handler)
    {
        deliverTo(from, to, to ? to->instance.life : ProcessLife(), m_now + Duration(m_random() % maxDelay.count()), std::move(handler));
    }

    void deliverTo(Node* from, Node* to, ProcessLife life, TimePoint at, std::function<void()> handler)
    {
        m_events.emplace(at, [this, from, to, life, handler = std::move(handler)] {
            auto due = m_now;
            for (auto* it : { from, to })
                due = it ? std::max(due, it->cutUntil) : due;
            if (to)
                due = std::max(due, to->pausedUntil);
            if (due > m_now)
                deliverTo(from, to, life, due, handler);
            else if (!to || (!to->isDead && to->instance.life == life))
                handler();
        });
    }

    TimePoint nextCallAt(const Node& node) const
    {
        const auto silent = node.provenAt + node.schedule.maxSilence;
        const auto unconfirmed = std::max(node.confirmedAt + node.schedule.maxUnconfirmed, node.calledAt + node.schedule.wait);
        return node.schedule.maxSilence == Duration {} ? TimePoint {} : std::min(silent, unconfirmed);
    }

    void call(Node& node)
    {
        ++calls;
        node.isCalling = true;
        node.calledAt = clockOf(node);
        const auto wait = node.schedule.maxSilence == Duration {} ? node.schedule.wait : Duration(1ms);
        deliver(&node, nullptr, [this, &node, wait, version = node.version] { respond(node, version, m_now + wait, wait); });
    }

    void respond(Node& node, std::uint64_t version, TimePoint end, Duration wait)
    {
        if (m_now < end && m_storeVersion == version) {
            m_events.emplace(std::min(end, m_now + tick), [this, &node, version, end, wait] { respond(node, version, end, wait); });
            return;
        }
        deliver(nullptr, &node, [this, &node, wait, read = m_storeVersion, hasChanges = m_storeVersion != version] { onResponse(node, read, hasChanges, wait); });
    }

    void onResponse(Node& node, std::uint64_t version, bool hasChanges, Duration wait)
    {
        node.isCalling = false;
        node.version = std::max(node.version, version);
        node.nextCall = m_now + (hasChanges ? 250ms : 0ms);
        if (!hasChanges) {
            node.provenAt = std::max(node.provenAt, std::min(clockOf(node), node.calledAt + wait));
            confirm(node, node.calledAt);
        }
        send(node, node.distribution.recipients());
    }

    void confirm(Node& node, TimePoint at)
    {
        node.confirmedAt = std::max(node.confirmedAt, at);
        node.freshness->confirm(node.confirmedAt);
    }

    /// Returns the connection to the process that runs there now; a new one after a restart.
    static Session& sessionOf(Node& node, const Node& peer)
    {
        auto& session = node.sessions[peer.instance.name];
        if (session.life != peer.instance.life)
            session = { peer.instance.life, {}, false, {} };
        return session;
    }

    /// Sends one frame. The receiver may have nothing else to send, and then sends one for the clocks alone.
    void transmit(Node& from, Node& to, std::function<void(const FrameTimes&, const SendTime&)> handler)
    {
        const auto times = sessionOf(from, to).clock.timesFor(clockOf(from));
        deliver(&from, &to, [this, &from, &to, life = from.instance.life, times, handler = std::move(handler)] {
            if (from.instance.life != life)
                return;
            auto& clock = sessionOf(to, from).clock;
            const auto sent = clock.onFrame(times, clockOf(to));
            if (clock.needsProbe(clockOf(to)))
                transmit(to, from, [](const FrameTimes&, const SendTime&) {});
            handler(times, sent);
        });
    }

    /// Runs the action when both processes have introduced themselves.
    void whenOpen(Node& from, Node& to, std::function<void()> action)
    {
        auto& session = sessionOf(from, to);
        if (session.isOpen)
            return action();
        session.waiting.push_back(std::move(action));
        if (session.waiting.size() > 1)
            return;
        transmit(from, to, [this, &from, &to](const FrameTimes&, const SendTime&) {
            transmit(to, from, [this, &from, &to](const FrameTimes&, const SendTime&) {
                auto& opened = sessionOf(from, to);
                opened.isOpen = true;
                for (const auto& it : std::exchange(opened.waiting, {}))
                    it();
            });
        });
    }

    void send(Node& node, const std::vector<InstanceName>& recipients)
    {
        for (const auto& it : recipients) {
            auto& to = *m_nodes.at(it);
            whenOpen(node, to, [this, &node, &to, version = node.version, proof = node.confirmedAt, proven = node.provenAt] {
                transmit(node, to, [this, &node, &to, version, proof, proven](const FrameTimes& times, const SendTime& sent) { onNews(to, node, { version, proof, proven }, times, sent); });
            });
        }
    }

    struct News {
        std::uint64_t version = 0;
        TimePoint confirmedAt, provenAt; ///< On the sender's clock.
    };

    void onNews(Node& node, const Node& from, const News& news, const FrameTimes& times, const SendTime& sent)
    {
        node.version = std::max(node.version, news.version);
        const auto toOwn = [&](TimePoint theirs) { return *sent.earliest - (times.sentAt - theirs); };
        if (sent.earliest) {
            node.provenAt = std::max(node.provenAt, toOwn(news.provenAt));
            if (news.confirmedAt != TimePoint {})
                confirm(node, toOwn(news.confirmedAt));
        }
        send(node, node.distribution.recipientsOfNewsFrom(from.instance.name));
    }

    std::mt19937 m_random;
    std::map<InstanceName, std::unique_ptr<Node>> m_nodes;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now { 1000s };
    std::uint64_t m_storeVersion = 1;
    TimePoint m_removedAt = never;
};

}

TEST_CASE("Every instance's configuration stays fresh in calm running, without a call by each" * doctest::test_suite("gateway"))
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.run(5s, [] {});
        const auto isFreshEverywhere = [&] {
            for (auto* it : fleet.nodes()) {
                CAPTURE(it->instance.name);
                REQUIRE((it->isDead || fleet.isFresh(*it)));
            }
        };
        const auto callsBefore = fleet.calls;
        fleet.run(60s, [&] {
            isFreshEverywhere();
            // So a proof outlasts an outage of the store of more than half the limit.
            for (auto* it : fleet.nodes())
                REQUIRE(it->freshness->age(fleet.clockOf(*it)) < limit / 3 + 150ms);
        });
        // One instance watches, a sixth of the limit at a time.
        CHECK(fleet.calls - callsBefore <= 60s / (limit / 6) + 1);
        fleet.removeKey();
        fleet.run(5s, isFreshEverywhere);
        // Also when the first instance dies: the next ones call for their zones.
        fleet.first().isDead = true;
        const auto callsAtDeath = fleet.calls;
        fleet.run(limit, isFreshEverywhere);
        CHECK(fleet.calls - callsAtDeath <= 2 * 3);
        fleet.run(30s, isFreshEverywhere);
    }
}

TEST_CASE("No instance admits a removed key past the limit, cut off, paused, restarted or with delayed news" * doctest::test_suite("gateway"))
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        Fleet fleet(seed);
        fleet.maxDelay = seed % 2 == 0 ? 30ms : 1500ms;
        const auto check = [&] {
            for (auto* it : fleet.nodes()) {
                CAPTURE(it->instance.name);
                REQUIRE_FALSE(fleet.admitsTooLate(*it));
            }
        };
        fleet.run(Duration(6s + 1ms * (random() % 3000)), check);
        for (auto* it : fleet.nodes()) {
            const auto until = fleet.now() + 1ms * (random() % 25000);
            switch (random() % 5) {
            case 0:
                it->cutUntil = until;
                break;
            case 1:
                it->pausedUntil = until;
                break;
            case 2:
                it->restart(ProcessLife(random()), 1s * (random() % 100000));
                break;
            default:
                break;
            }
        }
        fleet.run(Duration(1ms * (random() % 2000)), check);
        fleet.removeKey();
        fleet.run(40s, check);
    }
}

TEST_CASE("An instance whose proof is old calls the store at once when it runs or is reached again, whatever news piled up" * doctest::test_suite("gateway"))
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.run(10s, [] {});
        auto& node = *fleet.nodes()[seed % fleet.nodes().size()];
        (seed % 2 == 0 ? node.pausedUntil : node.cutUntil) = fleet.now() + 20s;
        fleet.run(19900ms, [] {});
        CHECK_FALSE(fleet.isFresh(node));
        fleet.run(300ms, [] {});
        CHECK(fleet.isFresh(node));
    }
}

}
