#include "forward/forward_engine.h"
#include "forward/limit_sharing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

const std::vector<ZoneName> zones { ZoneName("a"), ZoneName("b"), ZoneName("c") };

/// Instances of three zones in turn.
std::vector<Instance> fleetOf(std::size_t n)
{
    std::vector<Instance> instances;
    for (std::size_t i = 0; i < n; ++i) {
        Instance it;
        it.name = InstanceName("g" + std::to_string(i));
        it.zone = zones[i % zones.size()];
        instances.push_back(std::move(it));
    }
    return instances;
}

ServerEntry serverIn(const std::string& name, const ZoneName& zone)
{
    ServerEntry entry;
    entry.name = ServerName(name);
    entry.service = ServiceName("lookups");
    entry.zone = zone;
    entry.slots = 8;
    return entry;
}

/// The engines of a fleet, which send lookups to servers that may advertise a limit. Virtual time.
class LimitedFleet {
public:
    /// One server in each of the zones.
    LimitedFleet(std::size_t instances, const std::vector<ZoneName>& serverZones, std::uint64_t seed)
        : m_random(seed)
    {
        m_table->services[ServiceName("lookups")] = { 5000 };
        Route route;
        route.name = "lookup";
        route.isIdempotent = true;
        route.maxRuns = 2;
        route.timeout = 8s;
        route.targetLatency = 500ms;
        route.targets = { { ServiceName("lookups"), 1 } };
        m_table->routes = { route };
        for (const auto& zone : serverZones) {
            const auto entry = serverIn("s-" + zone.value(), zone);
            m_servers.emplace(entry.name, entry);
        }
        m_instances = fleetOf(instances);
        for (std::size_t i = 0; i < instances; ++i)
            m_engines.push_back(makeEngine(i));
    }

    void setLimit(std::optional<double> limit)
    {
        m_limit = limit;
        m_namedAt = m_now;
    }
    /// Makes one server advertise no limit.
    void exempt(const std::string& server) { m_exempt = ServerName(server); }
    /// Sends that many lookups a second in all, each from a random instance that runs.
    void run(Duration time, double perSecond)
    {
        const auto until = m_now + time;
        double due = 0;
        while (m_now < until) {
            m_now += step;
            due += perSecond * std::chrono::duration<double>(step).count();
            respond();
            for (auto& it : m_engines) {
                if (it.isRunning && it.engine->nextWake() <= m_now)
                    call(it, [&](ForwardActions& actions) { it.engine->onTimer(m_now, actions); });
            }
            for (; due >= 1; due -= 1)
                sendLookup();
        }
    }
    void stop(std::size_t i) { m_engines[i].isRunning = false; }
    void wake(std::size_t i) { m_engines[i].isRunning = true; }
    /// Replaces the process of an instance.
    void restart(std::size_t i) { m_engines[i] = makeEngine(i); }
    /// Adds an instance, which the others have not listed yet.
    void add()
    {
        m_instances = fleetOf(m_instances.size() + 1);
        m_engines.push_back(makeEngine(m_engines.size()));
    }
    void listInstances()
    {
        for (auto& it : m_engines)
            it.engine->setInstances(m_instances, m_now);
    }

    /// Returns the largest number of requests that one server got in four seconds, from four seconds after it advertised its limit
    /// on, from instances that had known the limit for half a second.
    std::size_t worstFourSeconds() const
    {
        std::size_t worst = 0;
        for (const auto& [name, times] : m_arrivals) {
            std::size_t first = 0;
            for (std::size_t i = 0; i < times.size(); ++i) {
                while (times[first] < times[i] - 4s)
                    ++first;
                worst = std::max(worst, i - first + 1);
            }
        }
        return worst;
    }
    std::size_t arrivals() const
    {
        std::size_t n = 0;
        for (const auto& [name, times] : m_arrivals)
            n += times.size();
        return n;
    }
    std::size_t servers() const { return m_servers.size(); }
    int served = 0;
    int refused = 0; ///< Refused at once as not run.
    int failed = 0; ///< Ended in any other way.

private:
    static constexpr Duration step = 1ms;
    static constexpr Duration work = 6ms;

    struct Member {
        std::unique_ptr<ForwardEngine> engine;
        std::map<ServerName, TimePoint> informedAt; ///< When the instance first got a response that names the limit.
        bool isRunning = true;
    };
    struct Running {
        std::size_t member = 0;
        ForwardEngine* engine = nullptr;
        SendServerRequest request;
    };

    Member makeEngine(std::size_t i)
    {
        ForwardSettings settings;
        settings.instance = m_instances[i].name;
        settings.zone = m_instances[i].zone;
        Member member;
        member.engine = std::make_unique<ForwardEngine>(settings, std::make_unique<SeededRandom>(m_random.next()));
        member.engine->setInstances(m_instances, m_now);
        member.engine->onRoutes(*m_table);
        member.engine->onServers(m_servers, m_now);
        return member;
    }

    void sendLookup()
    {
        const auto i = m_random.below(m_engines.size());
        auto& member = m_engines[i];
        if (!member.isRunning)
            return;
        const RequestNumber number { ++m_lastRequest };
        m_startedAt[number] = m_now;
        call(member, [&](ForwardActions& actions) {
            member.engine->start({ number, m_table, &m_table->routes.front(), std::make_shared<const HttpRequest>(), "id", m_now + 5s, m_now, never, {}, true, {}, Fingerprint(m_lastRequest) }, m_now, actions);
        });
    }

    template <typename Call>
    void call(Member& member, Call callEngine)
    {
        ForwardActions actions;
        callEngine(actions);
        for (const auto& action : actions) {
            if (const auto* request = std::get_if<SendServerRequest>(&action))
                arrive(member, *request);
            else if (const auto* answer = std::get_if<DeliverForwardAnswer>(&action))
                count(answer->answer);
        }
    }

    void count(const ForwardAnswer& answer)
    {
        const bool isAtOnce = m_now == m_startedAt.at(answer.request);
        if (answer.kind == ForwardAnswerKind::PassThrough)
            ++served;
        else if (answer.kind == ForwardAnswerKind::NotRun && isAtOnce && answer.retryAfter > Duration {})
            ++refused;
        else
            ++failed;
    }

    void arrive(Member& member, const SendServerRequest& request)
    {
        const auto it = member.informedAt.find(request.server.name);
        const bool isInformed = it != member.informedAt.end() && m_now >= it->second + 500ms;
        if (m_limit && request.server.name != m_exempt && m_now >= m_namedAt + 4s && isInformed)
            m_arrivals[request.server.name].push_back(m_now);
        m_running.emplace(m_now + work, Running { static_cast<std::size_t>(&member - m_engines.data()), member.engine.get(), request });
    }

    void respond()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const auto running = m_running.begin()->second;
            m_running.erase(m_running.begin());
            auto& member = m_engines[running.member];
            if (member.engine.get() != running.engine)
                continue;
            ServerResponse response;
            response.kind = ServerResponseKind::Served;
            if (running.request.server.name != m_exempt)
                response.rateLimit = m_limit;
            if (response.rateLimit)
                member.informedAt.emplace(running.request.server.name, m_now);
            call(member, [&](ForwardActions& actions) { member.engine->onResponse(running.request.id, response, m_now, actions); });
        }
    }

    SeededRandom m_random;
    TimePoint m_now { 100s };
    std::optional<double> m_limit;
    TimePoint m_namedAt {};
    ServerName m_exempt;
    std::shared_ptr<RouteTable> m_table = std::make_shared<RouteTable>();
    std::map<ServerName, ServerEntry> m_servers;
    std::vector<Instance> m_instances;
    std::vector<Member> m_engines;
    std::multimap<TimePoint, Running> m_running;
    std::map<RequestNumber, TimePoint> m_startedAt;
    std::map<ServerName, std::vector<TimePoint>> m_arrivals;
    std::uint64_t m_lastRequest = 0;
};

/// What a server allows in four seconds, with the tolerance of its operators.
std::size_t allowedInFourSeconds(double limit)
{
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

}

TEST_CASE("A fleet keeps the request rate that a server allows" * doctest::test_suite("forward"))
{
    for (const std::size_t instances : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 295 } }) {
        for (const double limit : { 0.0, 0.5, 4.0, 25.0, 120.0 }) {
            for (const std::uint64_t seed : { 1, 2, 3 }) {
                CAPTURE(instances);
                CAPTURE(limit);
                CAPTURE(seed);
                LimitedFleet fleet(instances, zones, seed);
                const auto demand = 3 * (3 * limit + 5);
                fleet.run(20s, demand);
                fleet.setLimit(limit);
                fleet.run(30s, demand);
                CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(limit));
                CHECK(fleet.failed == 0);
                // Unless each instance would have less than one request in some seconds, most of the allowed rate is used.
                if (limit >= 4 && instances <= 9)
                    CHECK(static_cast<double>(fleet.arrivals()) >= 0.75 * 26 * limit * static_cast<double>(fleet.servers()));
            }
        }
    }
}

TEST_CASE("Instances that start, stop, freeze and restart do not break a server's limit" * doctest::test_suite("forward"))
{
    constexpr double limit = 25;
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        CAPTURE(seed);
        LimitedFleet fleet(9, zones, seed);
        fleet.run(20s, 300);
        fleet.setLimit(limit);
        fleet.run(5s, 300);

        SUBCASE("three new instances, which the others list after ten seconds")
        {
            for (int i = 0; i < 3; ++i)
                fleet.add();
            fleet.run(10s, 300);
            fleet.listInstances();
            fleet.run(15s, 300);
        }
        SUBCASE("restarts one after the other")
        {
            for (std::size_t i = 0; i < 9; ++i) {
                fleet.restart(i);
                fleet.run(1300ms, 300);
            }
        }
        SUBCASE("frozen for seconds, then all awake at once")
        {
            for (std::size_t i = 0; i < 6; ++i)
                fleet.stop(i);
            fleet.run(8s, 300);
            for (std::size_t i = 0; i < 6; ++i)
                fleet.wake(i);
            fleet.run(8s, 300);
        }
        CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(limit));
    }
}

TEST_CASE("Requests beyond a server's limit go to a replica without one, and are refused where there is none" * doctest::test_suite("forward"))
{
    LimitedFleet fleet(9, zones, 1);
    fleet.run(20s, 200);
    CHECK(fleet.refused == 0);

    SUBCASE("A replica without a limit takes them all")
    {
        fleet.exempt("s-b");
        fleet.setLimit(4);
        fleet.run(20s, 200);
        CHECK(fleet.refused == 0);
        CHECK(fleet.worstFourSeconds() <= allowedInFourSeconds(4));
    }
    SUBCASE("The refusals end with the limit")
    {
        fleet.setLimit(4);
        fleet.run(10s, 200);
        CHECK(fleet.refused > 0);
        fleet.setLimit(std::nullopt);
        fleet.run(5s, 200);
        const auto refused = fleet.refused;
        fleet.run(10s, 200);
        CHECK(fleet.refused == refused);
    }
}

TEST_CASE("The instances' shares add up to the limit" * doctest::test_suite("forward"))
{
    const TimePoint now { 100s };
    for (const std::size_t n : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 295 } }) {
        for (const double limit : { 4.0, 25.0, 120.0 }) {
            CAPTURE(n);
            CAPTURE(limit);
            const auto instances = fleetOf(n);
            for (const auto& reach : { ServiceReach { { zones[0], zones[1] }, false }, ServiceReach { { zones[0], zones[1] }, true } }) {
                double rate = 0;
                double burst = 0;
                std::size_t senders = 0;
                for (const auto& it : instances) {
                    LimitSharing sharing(it.name, it.zone);
                    sharing.setInstances(instances, now);
                    const auto share = sharing.shareOf(serverIn("s", zones[0]), limit, reach, now + 20s);
                    rate += share.perSecond;
                    if (share.expires)
                        continue;
                    ++senders;
                    burst += share.burst;
                    CHECK((it.zone == zones[0] || (reach.isDirect && it.zone == zones[2])));
                }
                CHECK(rate == doctest::Approx(limit));
                CHECK(burst <= limit + 4);
                CHECK(senders >= 1);
            }
        }
    }

    SUBCASE("An instance that starts uses half of its share until the others count it")
    {
        LimitSharing sharing(InstanceName("g0"), zones[0]);
        const auto server = serverIn("s", zones[0]);
        CHECK(sharing.shareOf(server, 20, { { zones[0] }, true }, now).perSecond < 1);
        sharing.setInstances(fleetOf(9), now);
        const auto early = sharing.shareOf(server, 20, { { zones[0] }, true }, now + 1s);
        const auto later = sharing.shareOf(server, 20, { { zones[0] }, true }, sharing.nextChange(now + 1s));
        CHECK(later.perSecond == doctest::Approx(2 * early.perSecond));
        CHECK(sharing.nextChange(now + 1min) == never);
    }
    SUBCASE("In a zone without instances the server is shared by all")
    {
        LimitSharing sharing(InstanceName("g1"), zones[1]);
        sharing.setInstances({ fleetOf(9)[1], fleetOf(9)[2] }, now);
        CHECK_FALSE(sharing.shareOf(serverIn("s", zones[0]), 20, { { zones[0] }, false }, now + 20s).expires);
    }
}

TEST_CASE("A rate limit spreads requests and refills after a pause" * doctest::test_suite("forward"))
{
    ServerRateLimit limit;
    const TimePoint now { 100s };
    CHECK(limit.untilAllowed(now) == Duration {});
    limit.take(now);
    limit.set({ 2, 3 }, 1, now);
    CHECK(limit.untilAllowed(now) == Duration {});
    limit.take(now);
    CHECK(limit.untilAllowed(now) == 500ms);
    CHECK(limit.untilAllowed(now + 500ms) == Duration {});

    SUBCASE("After a pause as many requests are allowed as the burst")
    {
        for (int i = 0; i < 3; ++i) {
            CHECK(limit.untilAllowed(now + 1min) == Duration {});
            limit.take(now + 1min);
        }
        CHECK(limit.untilAllowed(now + 1min) == 500ms);
    }
    SUBCASE("A permission that expires is not kept for later")
    {
        limit.set({ 0.1, 1, true }, 1, now + 500ms);
        CHECK(limit.untilAllowed(now + 500ms) == Duration {});
        CHECK(limit.untilAllowed(now + 1600ms) > 8s);
        CHECK(limit.untilAllowed(now + 10600ms) == Duration {});
    }
    SUBCASE("Without a limit every request is allowed again")
    {
        limit.clear();
        CHECK(limit.untilAllowed(now) == Duration {});
    }
}

}
