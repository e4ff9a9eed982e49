#include "quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t zones = 4;
constexpr std::size_t teamCount = 4;
constexpr std::size_t minInstances = 8;
constexpr std::size_t maxInstances = 80;
/// Buckets are full by then, and no instance waits to become a keeper.
constexpr Duration quietTime = 25s;
constexpr Duration requestTime = 16s;
constexpr Duration hotTime = 6s;
constexpr Duration listPeriod = 10s;
constexpr Duration secondListDelay = 1500ms;
constexpr Duration timeInZone = 200us;
constexpr Duration timeAcrossZones = 3400us;
constexpr Duration maxDelay = 60ms;
constexpr Duration configurationTime = 5s;
constexpr double favouriteShare = 0.7;
constexpr double quotaOverDemand = 1.6;
constexpr double lossProbability = 0.2;

}

std::string_view toString(QuotaFault fault)
{
    constexpr std::string_view names[] = { "none", "losses", "cut", "pause", "restart", "keeper-dies", "instances-added", "power-lost", "quota-lowered", "several" };
    return names[static_cast<std::size_t>(fault)];
}

std::string_view toString(QuotaDemand demand)
{
    constexpr std::string_view names[] = { "even", "uneven", "hot", "hot-uneven" };
    return names[static_cast<std::size_t>(demand)];
}

QuotaFleet::QuotaFleet(QuotaFault fault, QuotaDemand demand, std::uint64_t seed)
    : m_fault(fault)
    , m_demand(demand)
    , m_random(seed)
{
    for (std::size_t i = 0; i < teamCount; ++i) {
        TeamRecord team;
        const auto rate = i == 0 ? 18 : 0.2 + 6 * m_random.unit() * m_random.unit();
        const auto burst = chance(0.5) ? rate : 1 + m_random.unit() * 10;
        team.quota = { TeamName("team" + std::to_string(i) + "-" + std::to_string(seed)), 0, rate, burst };
        team.laterQuota = { team.quota.name, 0, rate / 4, 1 };
        m_teams.push_back(team);
    }
    const auto instances = minInstances + m_random.below(maxInstances - minInstances + 1);
    for (std::size_t i = 0; i < instances; ++i) {
        m_nodes.push_back({ InstanceName("n" + std::to_string(i)), i % zones, nullptr, 0, {}, never, false, false });
        m_listed.insert(i);
    }
    m_favourite = m_random.below(instances);
    for (std::size_t i = 0; i < instances; ++i)
        start(i, true);
    const auto from = m_now + quietTime;
    const bool isHot = demand == QuotaDemand::Hot || demand == QuotaDemand::HotUneven;
    const auto hotTeam = m_random.below(2);
    const auto factor = 3 + 4.5 * m_random.unit();
    for (std::size_t i = 0; i < teamCount; ++i) {
        const auto usual = m_teams[i].quota.ratePerSecond / quotaOverDemand;
        auto time = from + randomDuration(0s, 1s);
        while (time < from + requestTime) {
            const bool isHotNow = isHot && i == hotTeam && time > from + 4s && time < from + 4s + hotTime;
            const auto rate = isHotNow ? usual * factor : usual;
            at(time, [this, i] { request(i); });
            time += Duration(static_cast<Duration::rep>(-1e6 * std::log(1 - m_random.unit()) / rate));
        }
    }
    if (fault != QuotaFault::Several) {
        inject(fault, from + randomDuration(0s, 8s));
        return;
    }
    for (std::size_t i = 1; i + 1 < quotaFaults; ++i) {
        if (chance(0.5))
            inject(static_cast<QuotaFault>(i), from + randomDuration(0s, 10s));
    }
}

void QuotaFleet::at(TimePoint time, Event event)
{
    m_events.emplace(std::max(time, m_now), std::move(event));
}

void QuotaFleet::atNode(std::size_t node, TimePoint time, Event event)
{
    at(time, [this, node, life = m_nodes[node].life, event = std::move(event)]() mutable {
        const auto& it = m_nodes[node];
        if (!it.engine || it.life != life)
            return;
        if (m_now < it.pausedUntil)
            return atNode(node, it.pausedUntil, std::move(event));
        event();
    });
}

Duration QuotaFleet::randomDuration(Duration min, Duration max)
{
    return min + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>((max - min).count()))));
}

std::vector<Team> QuotaFleet::quotas(bool isLater) const
{
    std::vector<Team> teams;
    for (const auto& it : m_teams)
        teams.push_back(isLater ? it.laterQuota : it.quota);
    return teams;
}

void QuotaFleet::start(std::size_t node, bool hadPredecessor)
{
    auto& it = m_nodes[node];
    it.engine = std::make_unique<QuotaEngine>(it.name, m_settings);
    ++it.life;
    it.pausedUntil = {};
    it.wakeAt = never;
    it.isLowered = m_now >= m_loweredAt;
    call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setTeams(quotas(it.isLowered), m_now, actions); });
    list(node, true, hadPredecessor);
}

void QuotaFleet::end(std::size_t node)
{
    m_nodes[node].engine = nullptr;
    std::erase_if(m_unanswered, [&](const auto& it) { return it.second.first == node; });
}

void QuotaFleet::list(std::size_t node, bool isFirst, bool hadPredecessor)
{
    std::vector<Instance> instances;
    for (const auto it : m_listed) {
        Instance instance;
        instance.name = m_nodes[it].name;
        instances.push_back(instance);
    }
    call(node, [&](QuotaEngine& engine, QuotaActions&) { engine.setInstances(instances, hadPredecessor, m_now, m_now); });
    // An instance that finds itself missing writes its object, which the next list contains.
    m_listed.insert(node);
    const auto next = isFirst ? secondListDelay : randomDuration(listPeriod * 9 / 10, listPeriod * 11 / 10);
    atNode(node, m_now + next, [this, node] { list(node, false, false); });
}

void QuotaFleet::call(std::size_t node, const std::function<void(QuotaEngine&, QuotaActions&)>& function)
{
    QuotaActions actions;
    function(*m_nodes[node].engine, actions);
    execute(node, actions);
    auto& it = m_nodes[node];
    const auto wake = it.engine->nextWake();
    if (wake >= it.wakeAt)
        return;
    it.wakeAt = wake;
    atNode(node, wake, [this, node] {
        m_nodes[node].wakeAt = never;
        call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onTimer(m_now, actions); });
    });
}

void QuotaFleet::execute(std::size_t node, const QuotaActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* asked = std::get_if<AskKeeper>(&action)) {
            send(
                node, asked->instance, [this, message = asked->call](QuotaEngine& engine, const InstanceName& from, QuotaActions& out) { engine.onCall(from, message, m_now, out); }, &asked->call);
        } else if (const auto* answered = std::get_if<AnswerCall>(&action)) {
            send(
                node, answered->instance, [this, message = answered->reply](QuotaEngine& engine, const InstanceName& from, QuotaActions& out) { engine.onReply(from, message, m_now, out); }, nullptr);
        } else if (const auto* admitted = std::get_if<AdmitRequest>(&action)) {
            const auto it = m_unanswered.find(admitted->number);
            m_teams[it->second.second].admissions.push_back(m_now);
            m_unanswered.erase(it);
        } else if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
            m_unanswered.erase(refused->number);
        }
    }
}

bool QuotaFleet::isLost(std::size_t from, std::size_t to)
{
    return m_nodes[from].isCut != m_nodes[to].isCut || chance(m_lossProbability);
}

void QuotaFleet::send(std::size_t from, const InstanceName& to, const std::function<void(QuotaEngine&, const InstanceName& from, QuotaActions&)>& deliver, const QuotaCall* ask)
{
    const auto target = static_cast<std::size_t>(std::stoul(to.value().substr(1)));
    if (isLost(from, target))
        return;
    auto delay = m_nodes[from].zone == m_nodes[target].zone ? timeInZone : timeAcrossZones;
    delay += randomDuration(0us, 2ms);
    if (m_lossProbability > 0 && chance(m_lossProbability))
        delay += randomDuration(0us, maxDelay);
    if (!m_nodes[target].engine) {
        if (ask)
            atNode(from, m_now + delay, [this, from, sequence = ask->sequence] { call(from, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onUndelivered(sequence, m_now, actions); }); });
        return;
    }
    atNode(target, m_now + delay, [this, from, target, deliver] { call(target, [&](QuotaEngine& engine, QuotaActions& actions) { deliver(engine, m_nodes[from].name, actions); }); });
}

void QuotaFleet::request(std::size_t team)
{
    const bool isUneven = m_demand == QuotaDemand::Uneven || m_demand == QuotaDemand::HotUneven;
    const auto node = isUneven && chance(favouriteShare) ? m_favourite : m_random.below(m_nodes.size());
    if (!m_nodes[node].engine)
        return;
    m_teams[team].arrivals.push_back(m_now);
    const RequestNumber number(++m_lastRequest);
    atNode(node, m_now, [this, node, team, number] {
        m_unanswered.emplace(number, std::pair(node, team));
        call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onRequest(number, m_teams[team].quota.name, m_now, actions); });
    });
}

std::size_t QuotaFleet::keeperOf(std::size_t team) const
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& node) { return node.engine && node.engine->roleFor(m_teams[team].quota.name) == QuotaRole::Keeper; });
    return static_cast<std::size_t>(it == m_nodes.end() ? 0 : it - m_nodes.begin());
}

void QuotaFleet::inject(QuotaFault fault, TimePoint time)
{
    switch (fault) {
    case QuotaFault::None:
    case QuotaFault::Several:
        return;
    case QuotaFault::Losses:
        return at(time, [this] { m_lossProbability = lossProbability; });
    case QuotaFault::Cut:
        return cut(time);
    case QuotaFault::Pause:
        return pause(time);
    case QuotaFault::Restart:
        for (std::size_t i = 0; i < m_nodes.size() / 4; ++i)
            at(time + i * 400ms, [this, i] { restart(i % 2 == 0 ? keeperOf(0) : m_random.below(m_nodes.size()), i % 2 == 0 ? randomDuration(20ms, 300ms) : randomDuration(200ms, 3s)); });
        return;
    case QuotaFault::KeeperDies:
        return at(time, [this] {
            const auto node = keeperOf(0);
            end(node);
            at(m_now + randomDuration(1s, 6s), [this, node] { m_listed.erase(node); });
        });
    case QuotaFault::InstancesAdded:
        return at(time, [this] {
            for (std::size_t i = m_nodes.size() / 3; i > 0; --i) {
                m_nodes.push_back({ InstanceName("n" + std::to_string(m_nodes.size())), i % zones, nullptr, 0, {}, never, false, false });
                start(m_nodes.size() - 1, false);
            }
        });
    case QuotaFault::PowerLost:
        return at(time, [this] {
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                restart(i, randomDuration(200ms, 3s));
        });
    case QuotaFault::QuotaLowered:
        return lower(time);
    }
}

void QuotaFleet::cut(TimePoint time)
{
    at(time, [this] {
        const auto part = m_random.unit() / 2;
        for (auto& it : m_nodes)
            it.isCut = chance(part);
        m_nodes[keeperOf(0)].isCut = chance(0.5);
    });
    at(time + randomDuration(2s, 8s), [this] {
        for (auto& it : m_nodes)
            it.isCut = false;
    });
}

void QuotaFleet::pause(TimePoint time)
{
    at(time, [this] {
        const auto count = 1 + m_random.below(m_nodes.size() / 4);
        for (std::size_t i = 0; i < count; ++i) {
            const auto node = i == 0 ? keeperOf(m_random.below(teamCount)) : m_random.below(m_nodes.size());
            const bool isGivenUp = chance(0.3);
            const auto length = isGivenUp ? 14s + randomDuration(0s, 10s) : randomDuration(100ms, 6s);
            m_nodes[node].pausedUntil = m_now + length;
            if (isGivenUp)
                m_listed.erase(node);
            // Its list is overdue, and it takes it as soon as it goes on.
            atNode(node, m_now + length, [this, node] { list(node, false, false); });
        }
    });
}

void QuotaFleet::restart(std::size_t node, Duration down)
{
    if (!m_nodes[node].engine)
        return;
    end(node);
    at(m_now + down, [this, node] {
        if (!m_nodes[node].engine)
            start(node, m_listed.contains(node));
    });
}

void QuotaFleet::lower(TimePoint time)
{
    m_loweredAt = time;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        at(time + randomDuration(0s, configurationTime), [this, i] {
            atNode(i, m_now, [this, i] {
                m_nodes[i].isLowered = true;
                m_lowAppliedAt = m_now;
                call(i, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setTeams(quotas(true), m_now, actions); });
            });
        });
    }
}

void QuotaFleet::run()
{
    const auto until = m_now + quietTime + requestTime + 2s;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        m_now = m_events.begin()->first;
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    m_now = until;
    std::erase_if(m_unanswered, [&](const auto& it) { return m_nodes[it.second.first].pausedUntil > until; });
}

double QuotaFleet::excess(const TeamRecord& team) const
{
    const auto window = m_settings.quotaWindow;
    const auto most = [&](const Team& quota) {
        return (quota.ratePerSecond * std::chrono::duration<double>(window).count() + quota.burst) * (1 + m_settings.quotaTolerance.value) + m_settings.quotaSlack;
    };
    // A lower quota binds once all running instances know it.
    const bool isLowInForce = std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node& it) { return !it.engine || it.isLowered; });
    double worst = -most(team.quota);
    std::size_t last = 0;
    for (std::size_t first = 0; first < team.admissions.size(); ++first) {
        while (last < team.admissions.size() && team.admissions[last] < team.admissions[first] + window)
            ++last;
        const bool isLowered = isLowInForce && team.admissions[first] > m_lowAppliedAt;
        worst = std::max(worst, static_cast<double>(last - first) - most(isLowered ? team.laterQuota : team.quota));
    }
    return worst;
}

double QuotaFleet::worstExcess() const
{
    double worst = excess(m_teams.front());
    for (const auto& it : m_teams)
        worst = std::max(worst, excess(it));
    return worst;
}

std::size_t QuotaFleet::allowedOf(const TeamRecord& team)
{
    const auto capacity = std::max(1.0, team.quota.burst);
    double level = capacity;
    std::size_t count = 0;
    TimePoint refilledAt = team.arrivals.empty() ? TimePoint() : team.arrivals.front();
    for (const auto& it : team.arrivals) {
        level = std::min(capacity, level + team.quota.ratePerSecond * std::chrono::duration<double>(it - refilledAt).count());
        refilledAt = it;
        if (level < 1)
            continue;
        --level;
        ++count;
    }
    return count;
}

std::size_t QuotaFleet::admitted() const
{
    std::size_t count = 0;
    for (const auto& it : m_teams)
        count += it.admissions.size();
    return count;
}

std::size_t QuotaFleet::allowed() const
{
    std::size_t count = 0;
    for (const auto& it : m_teams)
        count += allowedOf(it);
    return count;
}

double QuotaFleet::worstShare() const
{
    constexpr double uncounted = 2;
    double worst = 1;
    for (const auto& it : m_teams) {
        const auto expected = static_cast<double>(allowedOf(it));
        if (expected > uncounted)
            worst = std::min(worst, (static_cast<double>(it.admissions.size()) + uncounted) / expected);
    }
    return worst;
}

std::string QuotaFleet::describe() const
{
    auto text = std::to_string(m_nodes.size()) + " instances";
    for (const auto& it : m_teams)
        text += "; rate " + std::to_string(it.quota.ratePerSecond) + " burst " + std::to_string(it.quota.burst) + " arrivals " + std::to_string(it.arrivals.size()) + " allowed " + std::to_string(allowedOf(it)) + " admitted " + std::to_string(it.admissions.size()) + " excess " + std::to_string(excess(it));
    return text;
}

}
