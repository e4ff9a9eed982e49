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
/// A former keeper may miss several lists.
constexpr Duration longRequestTime = 40s;
constexpr Duration hotTime = 6s;
constexpr Duration listPeriod = 10s;
constexpr Duration secondListDelay = 1500ms;
constexpr Duration holderCheckPeriod = 50ms;
constexpr Duration storeTime = 4ms;
constexpr Duration maxStaleness = 3s;
constexpr Duration maxListDelay = 12s;
constexpr Duration refreshSpread = 5s;
constexpr Duration listedAfterRefresh = 170s;
constexpr Duration maxLateness = 5s;
constexpr Duration writeTimeout = 800ms;
constexpr Duration writeRetry = 500ms;
constexpr Duration timeInZone = 200us;
constexpr Duration timeAcrossZones = 3400us;
constexpr Duration maxDelay = 60ms;
constexpr double favouriteShare = 0.7;
constexpr double quotaOverDemand = 1.6;

}

std::string_view toString(QuotaFault fault)
{
    constexpr std::string_view names[] = { "none", "losses", "cut", "pause", "restart", "keeper-dies", "instances-added", "power-lost", "quota-lowered", "lists-late",
        "added-restart", "store-restored", "writes-late", "messages-late", "planned-stops", "part-starts", "several" };
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
    , m_requestTime(fault == QuotaFault::ListsLate || fault == QuotaFault::StoreRestored || fault == QuotaFault::PartStarts || fault == QuotaFault::Several ? longRequestTime : requestTime)
    , m_store(m_now, seed / quotaFaults % 2 == 0)
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
        m_nodes.emplace_back(InstanceName("n" + std::to_string(i)), i % zones);
        m_store.write(i, 0, {}, m_now);
    }
    m_favourite = m_random.below(instances);
    for (std::size_t i = 0; i < instances; ++i)
        start(i);
    const auto from = m_now + quietTime;
    for (auto time = m_now; time < from + m_requestTime; time += holderCheckPeriod)
        at(time, [this] { checkHolders(); });
    const bool isHot = demand == QuotaDemand::Hot || demand == QuotaDemand::HotUneven;
    const auto hotTeam = m_random.below(2);
    const auto factor = 3 + 4.5 * m_random.unit();
    const auto hotFrom = from + 4s + (m_requestTime > requestTime ? randomDuration(0s, 24s) : Duration {});
    for (std::size_t i = 0; i < teamCount; ++i) {
        const auto usual = m_teams[i].quota.ratePerSecond / quotaOverDemand;
        auto time = from + randomDuration(0s, 1s);
        while (time < from + m_requestTime) {
            const bool isHotNow = isHot && i == hotTeam && time > hotFrom && time < hotFrom + hotTime;
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

void QuotaFleet::start(std::size_t node)
{
    auto& it = m_nodes[node];
    it.engine = std::make_unique<QuotaEngine>(it.name, m_settings, m_random.next());
    ++it.life;
    it.pausedUntil = {};
    it.wakeAt = it.presenceWakeAt = never;
    it.isWritten = it.isListing = it.listsAgain = it.isWriting = it.writesAgain = false;
    it.version = it.refreshes = 0;
    it.declaration = {};
    it.census = {};
    it.presence = PeerPresence(it.name);
    it.listed = {};
    it.isLowered = m_now >= m_loweredAt;
    call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setTeams(quotas(it.isLowered), m_now, actions); });
    count(node, 0);
    write(node);
}

void QuotaFleet::end(std::size_t node)
{
    m_nodes[node].engine = nullptr;
    std::erase_if(m_unanswered, [&](const auto& it) { return it.second.first == node; });
}

void QuotaFleet::count(std::size_t node, std::size_t n)
{
    list(node, n < 2 || m_nodes[node].engine->needsLatestListing(), false);
    const auto next = n == 0 ? secondListDelay : randomDuration(listPeriod * 9 / 10, listPeriod * 11 / 10);
    atNode(node, m_now + next, [this, node, n] { count(node, n + 1); });
}

void QuotaFleet::list(std::size_t node, bool isLatest, bool isExtra)
{
    if (isExtra && std::exchange(m_nodes[node].isListing, true)) {
        m_nodes[node].listsAgain = true;
        return;
    }
    const auto askedAt = m_now;
    const bool fails = chance(m_listFailures);
    const auto delay = storeTime + (chance(m_listFailures / 2) ? randomDuration(0s, maxListDelay) : Duration {});
    at(m_now + randomDuration(0s, delay), [=, this, life = m_nodes[node].life] {
        const auto nodes = m_store.at(isLatest ? m_now : m_now - randomDuration(0s, maxStaleness));
        if (m_nodes[node].life != life)
            return;
        atNode(node, askedAt + delay, [=, this] {
            if (isExtra) {
                m_nodes[node].isListing = false;
                if (std::exchange(m_nodes[node].listsAgain, false))
                    list(node, true, true);
            }
            if (!fails)
                apply(node, nodes, isLatest, askedAt);
        });
    });
}

void QuotaFleet::apply(std::size_t node, const StoredNodes& nodes, bool isLatest, TimePoint askedAt)
{
    auto& it = m_nodes[node];
    if (nodes.revision < it.listed)
        return;
    const bool isNewEpoch = it.listed.epoch != 0 && nodes.revision.epoch > it.listed.epoch;
    it.listed = nodes.revision;
    if (isNewEpoch) {
        it.version = 0;
        it.isWriting = it.writesAgain = false;
        it.declaration.forget();
        it.census.recordNewEpoch(m_now + refreshSpread + listPeriod);
    }
    InstanceListing listing;
    listing.revision = nodes.revision;
    listing.isLatest = isLatest;
    listing.askedAt = askedAt;
    listing.listedUntil = it.listedUntil;
    std::vector<InstanceSighting> sightings;
    for (const auto& [listed, object] : nodes.objects) {
        Instance instance;
        instance.name = m_nodes[listed].name;
        instance.life = ProcessLife(object.life);
        sightings.push_back({ instance, ObjectVersion { object.version }, object.refreshes, object.declared });
        if (listed != node || object.life != it.life)
            continue;
        listing.holdsSelf = true;
        sightings.back().declared = it.declaration.confirmed(object.declared);
    }
    it.census.onList(sightings, m_now);
    it.census.describe(listing);
    it.presence.setInstances(listing.instances, listing.unverified, m_now);
    call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setGone(it.presence.gone(), m_now, actions); });
    call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setInstances(listing, m_now, actions); });
    probePeers(node);
    // An instance whose object the store has lost writes it again.
    if (isNewEpoch || (it.isWritten && !listing.holdsSelf))
        atNode(node, m_now + randomDuration(0s, refreshSpread), [this, node] { write(node); });
}

void QuotaFleet::probePeers(std::size_t node)
{
    auto& it = m_nodes[node];
    if (it.presence.onTimer(m_now))
        call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setGone(it.presence.gone(), m_now, actions); });
    for (const auto& name : it.presence.takeProbes(m_now))
        execute(node, { AskKeeper { name, {} } });
    const auto wake = it.presence.nextWake();
    if (wake < it.presenceWakeAt) {
        it.presenceWakeAt = wake;
        atNode(node, wake, [this, node] {
            m_nodes[node].presenceWakeAt = never;
            probePeers(node);
        });
    }
}

void QuotaFleet::write(std::size_t node)
{
    auto& it = m_nodes[node];
    if (std::exchange(it.isWriting, true)) {
        it.writesAgain = true;
        return;
    }
    const StoredNode object { it.life, ++it.refreshes, it.engine->declaration(), 0 };
    it.declaration.recordSent(object.declared);
    const auto delay = storeTime / 2 + (m_writeDelay > Duration {} ? randomDuration(0s, m_writeDelay) : Duration {});
    const auto isDone = std::make_shared<bool>(false);
    at(m_now + delay, [this, node, object, expected = it.version, isDone] { *isDone = !m_nodes[node].isGone && m_store.write(node, expected, object, m_now); });
    // The response of a write that is executed late is not awaited.
    atNode(node, m_now + std::min(delay + storeTime / 2, writeTimeout), [=, this, sentAt = m_now, epoch = it.listed.epoch] {
        if (m_nodes[node].listed.epoch == epoch)
            onWritten(node, object.declared, sentAt, *isDone);
    });
}

void QuotaFleet::onWritten(std::size_t node, const RoleDeclaration& declared, TimePoint sentAt, bool isDone)
{
    auto& it = m_nodes[node];
    it.isWriting = false;
    const auto nodes = m_store.at(m_now);
    const auto object = nodes.objects.find(node);
    const bool isAbsent = object == nodes.objects.end();
    if (!isDone && isAbsent && it.version != 0)
        call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onObjectLost(m_now, actions); });
    it.version = isAbsent ? 0 : object->second.version;
    if (!isDone) {
        atNode(node, m_now + writeRetry, [this, node] { write(node); });
        return;
    }
    it.listedUntil = sentAt + listedAfterRefresh;
    const bool isRoleAdded = it.declaration.recordWritten(declared);
    if (!std::exchange(it.isWritten, true) || isRoleAdded)
        list(node, true, true);
    if (std::exchange(it.writesAgain, false))
        write(node);
}

void QuotaFleet::add(std::size_t nodes)
{
    for (; nodes > 0; --nodes) {
        m_nodes.emplace_back(InstanceName("n" + std::to_string(m_nodes.size())), m_nodes.size() % zones);
        start(m_nodes.size() - 1);
    }
}

void QuotaFleet::checkHolders()
{
    for (const auto& team : m_teams) {
        for (const auto role : { QuotaRole::Keeper, QuotaRole::Standby }) {
            const auto grants = [&](const Node& it) { return it.engine && m_now >= it.pausedUntil && it.engine->grants({ team.quota.name, role }, m_now); };
            m_mostHolders = std::max(m_mostHolders, static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), grants)));
        }
    }
}

void QuotaFleet::call(std::size_t node, const std::function<void(QuotaEngine&, QuotaActions&)>& function)
{
    QuotaActions actions;
    function(*m_nodes[node].engine, actions);
    execute(node, actions);
    if (std::any_of(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<ReportRole>(it); }))
        checkHolders();
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
            auto& team = m_teams[it->second.second];
            team.admissions.push_back(m_now);
            team.admittedAfterStart += m_now >= m_servedFrom && !m_nodes[node].isCut ? 1 : 0;
            m_unanswered.erase(it);
        } else if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
            m_unanswered.erase(refused->number);
        } else if (const auto* claim = std::get_if<SendClaim>(&action)) {
            send(
                node, claim->claim.to, [this, message = claim->claim.claim](QuotaEngine& engine, const InstanceName& from, QuotaActions& out) { engine.onClaim(from, message, m_now, out); }, nullptr);
        } else if (const auto* answer = std::get_if<AnswerClaim>(&action)) {
            send(
                node, answer->instance, [this, message = answer->reply](QuotaEngine& engine, const InstanceName& from, QuotaActions& out) { engine.onClaimReply(from, message, m_now, out); }, nullptr);
        } else if (const auto* resigned = std::get_if<AnnounceResignation>(&action)) {
            const RoleResignation message { ProcessLife(m_nodes[node].life) };
            send(
                node, resigned->instance, [this, message](QuotaEngine& engine, const InstanceName& from, QuotaActions& out) { engine.onResignation(from, message, m_now, out); }, nullptr);
        } else if (std::holds_alternative<ListInstances>(action)) {
            list(node, true, true);
        } else if (std::holds_alternative<DeclareRoles>(action)) {
            if (m_nodes[node].refreshes > 0 && !m_nodes[node].declaration.isLatest(m_nodes[node].engine->declaration()))
                write(node);
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
    if (chance(m_lateMessages))
        delay += randomDuration(0s, maxLateness);
    if (!m_nodes[target].engine) {
        if (ask)
            atNode(from, m_now + delay, [this, from, sequence = ask->sequence] { call(from, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onUndelivered(sequence, m_now, actions); }); });
        return;
    }
    const auto receive = [this, from, target, deliver] {
        auto& presence = m_nodes[target].presence;
        if (presence.onMessage(m_nodes[from].name))
            call(target, [&](QuotaEngine& engine, QuotaActions& actions) { engine.setGone(presence.gone(), m_now, actions); });
        call(target, [&](QuotaEngine& engine, QuotaActions& actions) { deliver(engine, m_nodes[from].name, actions); });
    };
    atNode(target, m_now + delay, receive);
    if (chance(m_lateMessages))
        atNode(target, m_now + delay + randomDuration(0s, maxLateness), receive);
}

void QuotaFleet::request(std::size_t team)
{
    const bool isUneven = m_demand == QuotaDemand::Uneven || m_demand == QuotaDemand::HotUneven;
    const auto node = isUneven && chance(favouriteShare) ? m_favourite : m_random.below(m_nodes.size());
    if (!m_nodes[node].engine)
        return;
    m_teams[team].arrivals.push_back(m_now);
    if (m_now >= m_servedFrom && !m_nodes[node].isCut)
        m_teams[team].arrivalsAfterStart.push_back(m_now);
    const RequestNumber number(++m_lastRequest);
    atNode(node, m_now, [this, node, team, number] {
        m_unanswered.emplace(number, std::pair(node, team));
        call(node, [&](QuotaEngine& engine, QuotaActions& actions) { engine.onRequest(number, m_teams[team].quota.name, m_now, actions); });
    });
}

void QuotaFleet::run()
{
    auto until = m_now + quietTime + m_requestTime + 2s;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        m_now = m_events.begin()->first;
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
        // A process that was paused answers what has waited meanwhile.
        for (const auto& it : m_nodes)
            until = std::max(until, it.pausedUntil + 2s);
    }
    m_now = until;
}

}
