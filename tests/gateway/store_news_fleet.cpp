#include "store_news_fleet.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

constexpr Duration callTimeout = 800ms; ///< Beyond the wait of a watch.
constexpr Duration maxTransitToStore = 8ms;
constexpr Duration initialBackoff = 50ms;
constexpr Duration maxBackoff = 500ms;
constexpr Duration instancesTimeout = 150ms;
constexpr Duration stateTimeout = 150ms;
constexpr Duration helloTimeout = 5s;
constexpr Duration reconnectPause = 500ms;
constexpr Duration maxClockOffset = 100000s;
constexpr double maxDrift = 0.0004;

}

struct StoreNewsFleet::Connection {
    std::size_t from = 0;
    std::size_t to = 0;
    std::array<PeerClock, 2> clocks {}; ///< At the end that opened it, and at the other one.
    std::array<TimePoint, 2> lastArrival {}; ///< Towards the other end, and back: frames arrive in order.
    TimePoint closedAt = never;
    bool isOpen = false; ///< The greeting of the other end has arrived.
    std::vector<std::function<void(const ConnectionPtr&)>> waiting;
};

struct StoreNewsFleet::Node {
    Node(std::size_t number, Instance self)
        : number(number)
        , instance(std::move(self))
        , distribution(instance.name, instance.zone)
    {
    }

    std::size_t number;
    Instance instance;
    NewsDistribution distribution;
    WatchSchedule schedule;
    std::unique_ptr<WatchEngine> engine; ///< Null while no process runs.
    std::map<std::string, std::string> objects; ///< As the engine has delivered them.
    std::uint64_t process = 0;
    std::uint64_t call = 0;
    std::uint64_t callInFlight = 0; ///< 0: none.
    std::uint64_t timer = 0;
    TimePoint timerAt = never;
    Duration clockOffset {};
    double clockRate = 1;
    TimePoint pausedUntil {}; ///< The process has run since then, if that is past.
    TimePoint cutUntil {}; ///< The same for its way to the store.
    TimePoint startedAt {};
};

StoreNewsFleet::StoreNewsFleet(const Settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_store(m_events)
{
    std::vector<Instance> instances;
    for (std::size_t i = 0; i < settings.instances; ++i) {
        Instance it;
        it.name = InstanceName("i" + std::to_string(i));
        it.zone = ZoneName("z" + std::to_string(i % settings.zones));
        instances.push_back(it);
        m_numbers.emplace(it.name, i);
        m_nodes.push_back(std::make_unique<Node>(i, it));
    }
    for (const auto& it : m_nodes) {
        it->distribution.onPeers(instances);
        it->schedule = watchScheduleForRank(it->distribution.rank(), settings.limit, settings.proofLimit);
        m_events.after(drawn(2s), [this, node = it.get()] { startProcess(*node); });
    }
}

StoreNewsFleet::~StoreNewsFleet() = default;

TimePoint StoreNewsFleet::clockOf(const Node& node) const
{
    return TimePoint(node.clockOffset + scaled(m_events.now().time_since_epoch(), node.clockRate));
}

void StoreNewsFleet::startProcess(Node& node)
{
    const auto process = ++node.process;
    node.clockOffset = drawn(maxClockOffset);
    node.clockRate = 1 + maxDrift * (2 * m_random.unit() - 1);
    node.objects.clear();
    node.callInFlight = 0;
    node.timerAt = never;
    node.startedAt = m_events.now();
    node.engine = std::make_unique<WatchEngine>("objects/", Backoff(initialBackoff, maxBackoff, std::make_unique<SeededRandom>(m_random.next())));
    drive(node, [&](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.setSchedule(watchScheduleForRank(1, m_settings.limit, m_settings.proofLimit), now, actions); });
    m_events.after(drawn(instancesTimeout), [this, &node, process] {
        whenRunning(node, process, [this, &node] {
            drive(node, [&](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.setSchedule(node.schedule, now, actions); });
            requestState(node);
        });
    });
    m_events.after(instancesTimeout + stateTimeout, [this, &node, process] {
        whenRunning(node, process, [this, &node] { drive(node, [](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.start(now, actions); }); });
    });
}

void StoreNewsFleet::whenRunning(Node& node, std::uint64_t process, std::function<void()> action)
{
    if (!node.engine || node.process != process)
        return;
    if (node.pausedUntil <= m_events.now())
        return action();
    m_events.at(node.pausedUntil, [this, &node, process, action = std::move(action)] { whenRunning(node, process, action); });
}

void StoreNewsFleet::drive(Node& node, const std::function<void(WatchEngine&, TimePoint, WatchActions&)>& event)
{
    WatchActions actions;
    event(*node.engine, clockOf(node), actions);
    for (const auto& it : actions)
        execute(node, it);
    setTimer(node);
}

void StoreNewsFleet::setTimer(Node& node)
{
    const auto at = node.engine->nextWake();
    if (at == node.timerAt)
        return;
    node.timerAt = at;
    const auto timer = ++node.timer;
    if (at == never)
        return;
    const auto wait = std::max(Duration {}, scaled(at - clockOf(node), 1 / node.clockRate)) + Duration(1);
    m_events.after(wait, [this, &node, timer, process = node.process] {
        whenRunning(node, process, [this, &node, timer] {
            if (node.timer != timer)
                return;
            node.timerAt = never;
            drive(node, [](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.onTimer(now, actions); });
        });
    });
}

void StoreNewsFleet::execute(Node& node, const WatchAction& action)
{
    if (std::holds_alternative<ListObjects>(action))
        callStore(node, callTimeout, [this](const ModelStore::Respond& respond) { m_store.list(respond); });
    if (const auto* watch = std::get_if<WatchObjects>(&action))
        callStore(node, callTimeout + watch->wait, [this, watch = *watch](const ModelStore::Respond& respond) { m_store.watch(watch.after.number, watch.wait, respond); });
    if (const auto* delivery = std::get_if<DeliverBatch>(&action))
        apply(node, delivery->batch);
    if (const auto* announcement = std::get_if<AnnounceBatch>(&action))
        announce(node, *announcement);
}

bool StoreNewsFleet::isWayToStoreCut(const Node& node) const
{
    return m_events.now() < node.cutUntil;
}

void StoreNewsFleet::callStore(Node& node, Duration timeout, const std::function<void(const ModelStore::Respond&)>& call)
{
    const auto number = ++node.call;
    const auto process = node.process;
    node.callInFlight = number;
    m_events.after(timeout, [this, &node, process, number] {
        WatchBatch lost;
        lost.status = StoreStatus::Lost;
        whenRunning(node, process, [this, &node, number, lost] { onResponse(node, number, lost); });
    });
    const auto respond = [this, &node, process, number](const WatchBatch& batch) {
        m_events.after(drawn(maxTransitToStore), [this, &node, process, number, batch] {
            if (!isWayToStoreCut(node))
                whenRunning(node, process, [this, &node, number, batch] { onResponse(node, number, batch); });
        });
    };
    m_events.after(drawn(maxTransitToStore), [this, &node, call, respond] {
        if (!isWayToStoreCut(node))
            call(respond);
    });
}

void StoreNewsFleet::onResponse(Node& node, std::uint64_t call, const WatchBatch& batch)
{
    if (node.callInFlight != call)
        return;
    node.callInFlight = 0;
    drive(node, [&](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.onResponse(batch, now, actions); });
}

void StoreNewsFleet::apply(Node& node, const WatchBatch& batch)
{
    if (batch.status != StoreStatus::Ok)
        return;
    if (batch.isFullList)
        node.objects.clear();
    for (const auto& it : batch.changed)
        node.objects.insert_or_assign(it.key, it.value);
    for (const auto& it : batch.removed)
        node.objects.erase(it);
}

void StoreNewsFleet::requestState(Node& node)
{
    const auto sources = node.distribution.stateSources();
    if (sources.empty())
        return;
    auto& source = *m_nodes[m_numbers.at(sources.front())];
    whenOpen(node, source, [this, &node, &source](const ConnectionPtr& connection) {
        transmit(connection, true, [this, &node, &source, connection](const FrameTimes&, const SendTime&) { sendState(source, node, connection); });
    });
}

void StoreNewsFleet::sendState(Node& from, Node& to, const ConnectionPtr& connection)
{
    const News state { from.engine->state(), {}, from.engine->provenAt() };
    transmit(connection, false, [this, &from, &to, state](const FrameTimes& times, const SendTime& sent) {
        onNews(to, from, state, times, sent);
        drive(to, [](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.start(now, actions); });
    });
}

void StoreNewsFleet::announce(Node& node, const AnnounceBatch& announcement)
{
    for (const auto& it : node.distribution.recipients())
        sendNews(node, *m_nodes[m_numbers.at(it)], { announcement.batch, announcement.from, announcement.currentAsOf });
}

void StoreNewsFleet::sendNews(Node& from, Node& to, const News& news)
{
    whenOpen(from, to, [this, &from, &to, news](const ConnectionPtr& connection) {
        transmit(connection, true, [this, &from, &to, news](const FrameTimes& times, const SendTime& sent) { onNews(to, from, news, times, sent); });
    });
}

void StoreNewsFleet::onNews(Node& node, const Node& from, News news, const FrameTimes& times, const SendTime& sent)
{
    const auto toOwn = [&](TimePoint theirs) {
        const bool isKnown = theirs != TimePoint {} && sent.earliest;
        return isKnown ? std::min(sent.latest, *sent.earliest - (times.sentAt - theirs)) : TimePoint {};
    };
    news.currentAsOf = toOwn(news.currentAsOf);
    news.batch.confirmedAt = toOwn(news.batch.confirmedAt);
    news.batch.status = StoreStatus::Ok;
    news.batch.announcedBy = from.instance.name;
    for (const auto& it : node.distribution.recipientsOfNewsFrom(from.instance.name))
        sendNews(node, *m_nodes[m_numbers.at(it)], news);
    drive(node, [&](WatchEngine& engine, TimePoint now, WatchActions& actions) { engine.onAnnouncement(news.batch, news.from, news.currentAsOf, now, actions); });
}

StoreNewsFleet::ConnectionPtr StoreNewsFleet::connectionTo(Node& from, Node& to)
{
    auto& connection = m_connections[{ from.number, to.number }];
    const bool isUsable = connection && (connection->closedAt == never || m_events.now() < connection->closedAt + reconnectPause);
    if (isUsable)
        return connection;
    connection = std::make_shared<Connection>();
    connection->from = from.number;
    connection->to = to.number;
    m_events.after(helloTimeout, [this, connection] {
        if (!connection->isOpen)
            close(*connection);
    });
    transmit(connection, true, [](const FrameTimes&, const SendTime&) {});
    transmit(connection, false, [connection](const FrameTimes&, const SendTime&) {
        connection->isOpen = true;
        for (const auto& it : std::exchange(connection->waiting, {}))
            it(connection);
    });
    return connection;
}

void StoreNewsFleet::whenOpen(Node& from, Node& to, std::function<void(const ConnectionPtr&)> action)
{
    if (!to.engine)
        return;
    const auto connection = connectionTo(from, to);
    if (connection->closedAt != never)
        return;
    if (connection->isOpen)
        action(connection);
    else
        connection->waiting.push_back(std::move(action));
}

void StoreNewsFleet::close(Connection& connection)
{
    connection.closedAt = std::min(connection.closedAt, m_events.now());
    connection.waiting.clear();
}

void StoreNewsFleet::reset(std::size_t a, std::size_t b)
{
    for (const auto& pair : { std::pair(a, b), std::pair(b, a) }) {
        if (const auto it = m_connections.find(pair); it != m_connections.end() && it->second)
            close(*it->second);
    }
}

void StoreNewsFleet::transmit(const ConnectionPtr& connection, bool isForward, const Receive& handler)
{
    const auto& sender = *m_nodes[isForward ? connection->from : connection->to];
    const auto& receiver = *m_nodes[isForward ? connection->to : connection->from];
    const auto& link = m_links[{ sender.number, receiver.number }];
    const auto times = connection->clocks[isForward ? 0 : 1].timesFor(clockOf(sender));
    auto& last = connection->lastArrival[isForward ? 0 : 1];
    last = std::max(last, m_events.now() + link.delay + drawn(link.jitter));
    arrive(link, last, [this, connection, isForward, times, handler] { receive(connection, isForward, times, handler); });
}

void StoreNewsFleet::arrive(const Link& link, TimePoint at, const std::function<void()>& handler)
{
    m_events.at(at, [this, &link, handler] {
        if (m_events.now() >= link.heldUntil)
            handler();
        else
            arrive(link, link.heldUntil, handler);
    });
}

void StoreNewsFleet::receive(const ConnectionPtr& connection, bool isForward, const FrameTimes& times, const Receive& handler)
{
    auto& receiver = *m_nodes[isForward ? connection->to : connection->from];
    whenRunning(receiver, receiver.process, [this, connection, isForward, times, handler, &receiver] {
        if (connection->closedAt != never)
            return;
        auto& clock = connection->clocks[isForward ? 1 : 0];
        const auto now = clockOf(receiver);
        const auto sent = clock.onFrame(times, now);
        if (clock.needsProbe(now))
            transmit(connection, !isForward, [](const FrameTimes&, const SendTime&) {});
        handler(times, sent);
    });
}

void StoreNewsFleet::pause(std::size_t number, Duration time)
{
    auto& node = *m_nodes[number];
    node.pausedUntil = std::max(node.pausedUntil, m_events.now() + time);
}

void StoreNewsFleet::restart(std::size_t number, Duration downTime)
{
    auto& node = *m_nodes[number];
    if (!node.engine)
        return;
    node.engine.reset();
    node.pausedUntil = {};
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        reset(number, i);
    m_events.after(downTime, [this, &node] { startProcess(node); });
}

void StoreNewsFleet::cutFromStore(std::size_t number, Duration time)
{
    auto& node = *m_nodes[number];
    node.cutUntil = std::max(node.cutUntil, m_events.now() + time);
}

std::size_t StoreNewsFleet::scheduledCalls(Duration time, bool areLinksLate) const
{
    std::size_t calls = 0;
    for (const auto& it : m_nodes) {
        const auto& schedule = it->schedule;
        const bool isWatching = schedule.maxSilence == Duration {};
        if (isWatching || areLinksLate)
            calls += static_cast<std::size_t>(time / (isWatching ? schedule.wait : schedule.maxSilence)) + 1;
    }
    return calls;
}

std::string StoreNewsFleet::findLate() const
{
    const auto now = m_events.now();
    if (m_store.health() != ModelStore::Health::Sound)
        return {};
    for (const auto& node : m_nodes) {
        const auto soundSince = std::max({ node->startedAt, node->pausedUntil, node->cutUntil, m_store.soundSince() });
        if (!node->engine || now < soundSince + settlingTime)
            continue;
        for (const auto& key : m_store.keys()) {
            const auto it = node->objects.find(key);
            const auto known = it == node->objects.end() ? std::nullopt : std::optional(it->second);
            const auto allowed = m_store.valuesSince(now - m_settings.limit, key);
            if (std::find(allowed.begin(), allowed.end(), known) != allowed.end())
                continue;
            std::ostringstream text;
            text << node->instance.name.value() << " at " << std::chrono::duration<double>(now.time_since_epoch()).count() << " s: " << key << " is " << known.value_or("missing") << ", not " << allowed.front().value_or("missing")
                 << "; revision " << node->engine->revision();
            return text.str();
        }
    }
    return {};
}

}
