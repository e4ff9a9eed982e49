#include "fault_matrix/request_node.h"

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

/// Bounds of the time between the stop of an instance and its removal from the views of the other instances.
constexpr Duration minSuspicionDelay = 2s;
constexpr Duration maxSuspicionDelay = 4s;
constexpr Duration balancerLag = 1s;
constexpr Duration drainCheckPeriod = 50ms;

}

void RequestTestBed::stopInstance(std::size_t index, Duration downFor)
{
    auto& node = *m_nodes[index];
    if (!node.isUp)
        return;
    node.isUp = false;
    for (auto& [id, call] : m_history.calls) {
        if (id.life == node.self.life && call.answers.empty())
            call.isExcused = true;
    }
    for (auto& [server, links] : m_links) {
        for (const auto& [id, link] : links) {
            if (link.node == index)
                m_servers.at(server)->dropConnection(id, m_timeline.now());
        }
        std::erase_if(links, [&](const auto& it) { return it.second.node == index; });
    }
    for (std::size_t i = 0; i < instances; ++i) {
        m_timeline.after(5ms, [this, i, epoch = m_nodes[i]->epoch, lost = node.self.name] {
            runOnNode(i, epoch, [this, lost](Node& it) {
                QueryActions queryActions;
                it.query->onRelayDisconnected(lost, m_timeline.now(), queryActions);
                execute(it, queryActions);
                RelayActions relayActions;
                it.relay->onEntryDisconnected(lost, m_timeline.now(), relayActions);
                execute(it, relayActions);
            });
        });
    }
    publishViews(minSuspicionDelay, maxSuspicionDelay);
    m_timeline.after(downFor, [this, index] {
        buildNode(index);
        setView(index, currentView());
        publishViews(200ms, 1s);
    });
}

void RequestTestBed::pauseInstance(std::size_t index, Duration duration)
{
    auto& node = *m_nodes[index];
    if (!node.isUp || node.isPaused)
        return;
    node.isPaused = true;
    for (auto& [id, call] : m_history.calls) {
        if (id.life == node.self.life && call.answers.empty())
            call.isExcused = true;
    }
    publishViews(minSuspicionDelay, maxSuspicionDelay);
    m_timeline.after(duration, [this, index, epoch = node.epoch] {
        auto& paused = *m_nodes[index];
        if (paused.epoch != epoch)
            return;
        paused.isPaused = false;
        publishViews(100ms, 800ms);
        const auto deferred = std::move(paused.deferred);
        paused.deferred.clear();
        for (const auto& it : deferred)
            it();
        scheduleWake(paused);
    });
}

void RequestTestBed::drainInstance(std::size_t index)
{
    auto& node = *m_nodes[index];
    node.isDraining = true;
    node.balancerSendsUntil = m_timeline.now() + balancerLag;
    publishViews(50ms, 800ms);
    const auto serveUntil = m_options.mutation == Mutation::DrainWithoutWaiting ? m_timeline.now() : m_timeline.now() + balancerLag;
    checkDrain(index, node.epoch, serveUntil);
}

void RequestTestBed::checkDrain(std::size_t index, std::uint64_t epoch, TimePoint serveUntil)
{
    runOnNode(index, epoch, [this, serveUntil](Node& node) {
        const bool isIdle = !node.query->inFlight() && !node.relay->inFlight() && !node.claims->pending();
        if (m_timeline.now() >= serveUntil && (isIdle || m_options.mutation == Mutation::DrainWithoutWaiting)) {
            for (const auto& [id, call] : m_history.calls) {
                if (id.life == node.self.life && call.answers.empty())
                    m_history.abortedByDrain.push_back(id.toString());
            }
            stopInstance(node.index, 1h);
        }
        if (m_timeline.now() >= serveUntil) {
            RelayActions actions;
            node.relay->beginDrain(m_timeline.now(), actions);
            execute(node, actions);
        }
    });
    if (m_nodes[index]->isUp && m_nodes[index]->epoch == epoch)
        m_timeline.after(drainCheckPeriod, [this, index, epoch, serveUntil] { checkDrain(index, epoch, serveUntil); });
}

bool RequestTestBed::isStopped(std::size_t index) const
{
    return !m_nodes[index]->isUp;
}

bool RequestTestBed::hasRestarted(std::size_t index) const
{
    return m_nodes[index]->epoch > 1;
}

void RequestTestBed::repartition()
{
    m_epoch = PartitionEpoch(m_epoch.value() + 1);
    for (std::uint32_t s = 0; s < shards; ++s) {
        for (std::uint32_t r = 0; r < replicas; ++r) {
            const std::map<ShardNumber, std::vector<BatchId>> batches { { ShardNumber(s), { BatchId("b" + std::to_string((s + m_epoch.value() - 1) % shards)) } } };
            m_timeline.after(20ms * (s * replicas + r), [this, s, r, batches, epoch = m_epoch] { server(s, r).setIndex({ IndexVersion(1) }, { epoch }, batches); });
        }
    }
    publishViews(50ms, 400ms);
}

void RequestTestBed::stopServer(std::uint32_t shard, std::uint32_t replica, Duration downFor)
{
    server(shard, replica).kill(m_timeline.now(), downFor);
    closeServerLinks(serverName(shard, replica));
}

void RequestTestBed::drainServer(std::uint32_t shard, std::uint32_t replica)
{
    const auto name = serverName(shard, replica);
    auto& behaviour = server(shard, replica).behaviour();
    behaviour.draining = true;
    behaviour.marksDrain = m_options.mutation != Mutation::DrainNotAnnounced;
    m_history.drainStartedAt.emplace(name, m_timeline.now());
    if (m_options.mutation == Mutation::DrainNotAnnounced)
        return;
    m_timeline.after(3s, [this, name] {
        m_drainingServers.insert(name);
        publishViews(50ms, 400ms);
    });
}

void RequestTestBed::fillConnections(std::uint32_t shard, std::uint32_t replica, Duration duration)
{
    const auto name = serverName(shard, replica);
    m_foreignConnections[name] = m_history.connectionCaps.at(name);
    auto& links = m_links[name];
    std::vector<ServerLink> idle;
    for (const auto& [id, link] : links) {
        if (!link.leg)
            idle.push_back(link);
    }
    std::erase_if(links, [](const auto& it) { return !it.second.leg; });
    for (const auto& link : idle) {
        runOnNode(link.node, link.epoch, [this, name, link](Node& it) {
            RelayActions out;
            it.relay->onConnectionLost(name, link.connection, false, m_timeline.now(), out);
            execute(it, out);
        });
    }
    m_timeline.after(duration, [this, name] { m_foreignConnections[name] = 0; });
}

}
