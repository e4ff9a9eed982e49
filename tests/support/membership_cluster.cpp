#include "support/membership_cluster.h"

#include "membership/rule_watchers.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::size_t requestBytes = 70; ///< Size of a rule request with all headers.

}

MembershipCluster::MembershipCluster(std::uint64_t seed, MembershipSettings settings)
    : m_settings(settings)
    , m_random(seed)
    , m_messageSize([](const auto& message) { return 90 + 60 * message.digests.size(); })
    , m_deltaSize([](const auto& delta) { return 90 + 200 * delta.addedLines.size(); })
{
}

void MembershipCluster::setSizes(MessageSize message, DeltaSize delta)
{
    m_messageSize = std::move(message);
    m_deltaSize = std::move(delta);
}

MembershipCluster::Node& MembershipCluster::start(const std::string& name, const std::string& zone)
{
    const InstanceName instanceName(name);
    const auto epoch = ++m_sequence;
    auto& node = m_nodes[instanceName];
    node = Node();
    node.epoch = epoch;
    const auto port = static_cast<std::uint16_t>(m_nodes.size());
    node.self = { instanceName, ProcessLife(m_random.next()), { "10.20.30.40", port }, { "10.20.30.40", port }, ZoneName(zone) };
    node.random = std::make_unique<SeededRandom>(m_random.next());
    node.engine = std::make_unique<MembershipEngine>(node.self, m_settings, *node.random, m_now);
    MembershipActions actions;
    node.engine->onListed(listed(), m_now, actions);
    execute(node, std::move(actions));
    wake(instanceName, epoch);
    return node;
}

void MembershipCluster::startMany(std::size_t n, std::size_t zones)
{
    for (std::size_t i = 0; i < n; ++i)
        start("i" + std::to_string(i), "zone-" + std::to_string(i % zones));
    const auto all = listed();
    for (auto& [name, node] : m_nodes) {
        MembershipActions actions;
        node.engine->onListed(all, m_now, actions);
        execute(node, std::move(actions));
    }
}

void MembershipCluster::stop(const std::string& name)
{
    node(name).stopped = true;
}

void MembershipCluster::pause(const std::string& name)
{
    node(name).paused = true;
}

void MembershipCluster::resume(const std::string& name)
{
    node(name).paused = false;
    for (auto& it : std::exchange(m_deferred[InstanceName(name)], {}))
        schedule(m_now, std::move(it));
}

void MembershipCluster::storeRules(const StoredRules& rules, Duration delay)
{
    for (auto& [name, node] : m_nodes) {
        if (!watchesRules(node.engine->view(), name, m_settings.watchersPerZone))
            continue;
        schedule(m_now + delay, [this, name = name, rules] {
            auto& watcher = m_nodes.at(name);
            if (watcher.stopped || watcher.paused)
                return;
            RuleActions actions;
            watcher.replicator.onStored(rules, actions);
            execute(watcher, std::move(actions));
        });
    }
}

void MembershipCluster::act(const std::string& name, const std::function<void(MembershipEngine&, MembershipActions&)>& action)
{
    MembershipActions actions;
    action(*node(name).engine, actions);
    execute(node(name), std::move(actions));
}

void MembershipCluster::runFor(Duration duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

std::size_t MembershipCluster::countWithRevision(RuleRevision revision) const
{
    return std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return !it.second.stopped && it.second.replicator.revision() >= revision; });
}

std::size_t MembershipCluster::countSeeing(const std::string& other, InstanceHealth health) const
{
    return std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& it) {
        if (it.second.stopped)
            return false;
        const auto* seen = it.second.engine->view().find(InstanceName(other));
        return seen ? seen->health == health : health == InstanceHealth::Gone;
    });
}

std::size_t MembershipCluster::running() const
{
    return std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& it) { return !it.second.stopped; });
}

void MembershipCluster::schedule(TimePoint at, std::function<void()> run)
{
    m_events.push({ at, ++m_sequence, std::move(run) });
}

/// Runs the due timers of an instance and schedules the next wake-up.
void MembershipCluster::wake(const InstanceName& name, std::uint64_t epoch)
{
    auto& node = m_nodes.at(name);
    if (node.epoch != epoch || node.stopped)
        return;
    if (node.paused) {
        m_deferred[name].push_back([this, name, epoch] { wake(name, epoch); });
        return;
    }
    if (m_now >= node.engine->nextTimer()) {
        MembershipActions actions;
        node.engine->onTimer(m_now, actions);
        execute(node, std::move(actions));
    }
    if (m_now >= node.replicator.nextTimer()) {
        RuleActions actions;
        node.replicator.onTimer(m_now, actions);
        execute(node, std::move(actions));
    }
    constexpr Duration maxSleep = 50ms;
    const auto next = std::min({ node.engine->nextTimer(), node.replicator.nextTimer(), m_now + maxSleep });
    schedule(std::max(next, m_now + 1ms), [this, name, epoch] { wake(name, epoch); });
}

void MembershipCluster::deliver(const InstanceName& from, const InstanceName& to, std::size_t bytes, std::function<void(Node&)> handle)
{
    ++m_messages;
    auto& sender = m_nodes.at(from);
    sender.bytes += bytes;
    sender.engine->onBytes(ByteCount { bytes }, m_now);
    if (m_network.cuts.contains({ from, to }) || m_random.unit() < m_network.loss.value)
        return;
    const auto spread = static_cast<std::uint64_t>((m_network.maxDelay - m_network.minDelay).count()) + 1;
    const auto delay = m_network.minDelay + Duration(static_cast<Duration::rep>(m_random.below(spread)));
    schedule(m_now + delay, [this, to, bytes, handle = std::move(handle)] {
        const auto it = m_nodes.find(to);
        if (it != m_nodes.end())
            receive(it->second, bytes, handle);
    });
}

void MembershipCluster::receive(Node& node, std::size_t bytes, const std::function<void(Node&)>& handle)
{
    if (node.stopped)
        return;
    if (node.paused) {
        m_deferred[node.self.name].push_back([this, name = node.self.name, bytes, handle] { receive(m_nodes.at(name), bytes, handle); });
        return;
    }
    node.bytes += bytes;
    node.engine->onBytes(ByteCount { bytes }, m_now);
    handle(node);
}

void MembershipCluster::execute(Node& node, MembershipActions actions)
{
    const auto from = node.self.name;
    for (auto& it : actions) {
        const auto* gossip = std::get_if<SendGossip>(&it);
        if (!gossip)
            continue;
        const auto message = std::make_shared<GossipMessage>(gossip->message);
        deliver(from, gossip->to, m_messageSize(*message), [this, from, message](Node& receiver) {
            MembershipActions responses;
            receiver.engine->onMessage(from, *message, m_now, responses);
            execute(receiver, std::move(responses));
            RuleActions requests;
            receiver.replicator.onPeerRevision(from, message->ruleRevision, m_now, requests);
            execute(receiver, std::move(requests));
        });
    }
}

void MembershipCluster::execute(Node& node, RuleActions actions)
{
    const auto from = node.self.name;
    for (auto& it : actions) {
        if (const auto* request = std::get_if<RequestRules>(&it)) {
            deliver(from, request->peer, requestBytes, [this, from, have = request->have](Node& receiver) {
                RuleActions responses;
                receiver.replicator.onRequest(from, have, responses);
                execute(receiver, std::move(responses));
            });
        } else if (const auto* rules = std::get_if<SendRules>(&it)) {
            const auto delta = std::make_shared<RuleDelta>(rules->delta);
            deliver(from, rules->peer, m_deltaSize(*delta), [this, from, delta](Node& receiver) {
                RuleActions responses;
                receiver.replicator.onDelta(from, *delta, m_now, responses);
                execute(receiver, std::move(responses));
            });
        } else if (const auto* published = std::get_if<PublishRules>(&it)) {
            node.revisions.push_back(published->table.revision());
            MembershipActions announcements;
            node.engine->setRuleRevision(published->table.revision(), announcements);
            execute(node, std::move(announcements));
        }
    }
}

std::vector<Instance> MembershipCluster::listed() const
{
    std::vector<Instance> instances;
    for (const auto& [name, node] : m_nodes) {
        if (!node.stopped)
            instances.push_back(node.self);
    }
    return instances;
}

}
