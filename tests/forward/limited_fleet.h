#pragma once

#include "forward/forward_engine.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

using namespace std::chrono_literals;

inline const std::vector<ZoneName> zones { ZoneName("a"), ZoneName("b"), ZoneName("c") };

/// Instances of three zones in turn.
inline std::vector<Instance> fleetOf(std::size_t n)
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

inline ServerEntry serverIn(const std::string& name, const ZoneName& zone)
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
    LimitedFleet(std::size_t instances, const std::vector<ZoneName>& serverZones, std::uint64_t seed, double warmupRate = 0)
        : m_random(seed)
    {
        m_table->services[ServiceName("lookups")] = { 5000, warmupRate };
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
    /// Replaces the servers of a zone by new processes that warm up for the given time, as their entries tell each instance
    /// within `spread`. With tellsResponses their entries tell nothing, and their responses do.
    void returnZone(const ZoneName& zone, Duration warmup, Duration spread, bool tellsResponses = false)
    {
        for (auto& [name, entry] : m_servers) {
            if (entry.zone != zone)
                continue;
            ++entry.startedAt;
            entry.warmupLeft = tellsResponses ? Duration {} : warmup;
            m_warmUntil[name] = m_now + warmup;
        }
        m_tellsWarmup = tellsResponses;
        for (std::size_t i = 0; i < m_engines.size(); ++i)
            m_listings.emplace(m_now + scaled(spread, m_random.unit()), i);
    }
    /// Returns the largest number of requests that a server which warmed up got in one second.
    std::size_t worstWarmSecond() const { return m_worstWarmSecond; }
    std::size_t warmArrivals() const { return m_warmArrivals; }
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
            for (; !m_listings.empty() && m_listings.begin()->first <= m_now; m_listings.erase(m_listings.begin()))
                m_engines[m_listings.begin()->second].engine->onServers(m_servers, m_now);
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
    static constexpr double warmupTolerance = 1.5;
    static constexpr double warmupSlack = 5;
    int served = 0;
    int refused = 0; ///< Refused at once as not run.
    int failed = 0; ///< Ended in any other way.

private:
    static constexpr Duration step = 1ms;
    /// What a member sends in this time after its first response from a warming server whose entry does not tell is not counted.
    static constexpr Duration learningTime = 50ms;
    static constexpr Duration work = 6ms;

    struct Member {
        std::unique_ptr<ForwardEngine> engine;
        std::map<ServerName, TimePoint> informedAt; ///< When the instance first got a response that names the limit.
        std::map<ServerName, TimePoint> toldWarmAt; ///< When the instance first got a response that tells of the warm-up.
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
        settings.warmupTolerance = warmupTolerance;
        settings.warmupSlack = warmupSlack;
        Member member;
        member.engine = std::make_unique<ForwardEngine>(settings, std::make_unique<SeededRandom>(m_random.next()));
        member.engine->setInstances(m_instances, m_now);
        // Either may be known first.
        const bool areServersFirst = i % 2 == 1;
        if (areServersFirst)
            member.engine->onServers(m_servers, m_now);
        member.engine->onRoutes(*m_table, m_now);
        if (!areServersFirst)
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
        countWarm(member, request);
        m_running.emplace(m_now + work, Running { static_cast<std::size_t>(&member - m_engines.data()), member.engine.get(), request });
    }

    void countWarm(const Member& member, const SendServerRequest& request)
    {
        const auto& name = request.server.name;
        const auto warm = m_warmUntil.find(name);
        const auto told = member.toldWarmAt.find(name);
        const bool isTold = !m_tellsWarmup || (told != member.toldWarmAt.end() && m_now >= told->second + learningTime);
        if (warm == m_warmUntil.end() || m_now >= warm->second || !isTold || request.server.startedAt != m_servers.at(name).startedAt)
            return;
        ++m_warmArrivals;
        auto& last = m_lastSecond[name];
        last.push_back(m_now);
        while (last.front() <= m_now - 1s)
            last.pop_front();
        m_worstWarmSecond = std::max(m_worstWarmSecond, last.size());
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
            const auto warm = m_warmUntil.find(running.request.server.name);
            const bool isSameProcess = running.request.server.startedAt == m_servers.at(running.request.server.name).startedAt;
            if (m_tellsWarmup && isSameProcess && warm != m_warmUntil.end() && m_now < warm->second) {
                response.warmupLeft = warm->second - m_now;
                member.toldWarmAt.emplace(running.request.server.name, m_now);
            }
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
    std::multimap<TimePoint, std::size_t> m_listings; ///< When instances learn of the servers that are listed now.
    std::map<ServerName, TimePoint> m_warmUntil;
    std::map<ServerName, std::deque<TimePoint>> m_lastSecond;
    bool m_tellsWarmup = false;
    std::size_t m_worstWarmSecond = 0;
    std::size_t m_warmArrivals = 0;
};

}
