#include "fault_matrix/request_node.h"

#include <algorithm>

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration connectCost = 6ms;
constexpr Duration serverLatency = 500us;

LegOutcome outcomeOf(const standin::BackendResponse& reply)
{
    if (reply.status == 200)
        return LegOutcome::Ok;
    if (reply.reason == "version-gone")
        return LegOutcome::VersionGone;
    if (reply.reason == "shard-moved")
        return LegOutcome::ShardMoved;
    if (reply.reason == "expired")
        return LegOutcome::Expired;
    if (reply.reason == "cancelled")
        return LegOutcome::Cancelled;
    return reply.reason == "failed" ? LegOutcome::Failed : LegOutcome::Refused;
}

}

std::uint64_t RequestWorld::wireId(const Node& node, ConnectionId connection)
{
    constexpr std::uint64_t lives = 1000;
    constexpr std::uint64_t connections = 1000000;
    return (node.index * lives + node.epoch) * connections + connection.value();
}

void RequestWorld::execute(Node& node, const RelayActions& actions)
{
    for (const auto& it : actions) {
        if (const auto* open = std::get_if<OpenConnection>(&it))
            openConnection(node, *open);
        if (const auto* close = std::get_if<CloseConnection>(&it))
            m_links[close->server].erase(wireId(node, close->connection));
        if (const auto* run = std::get_if<RunLeg>(&it))
            runLeg(node, *run);
        if (const auto* cancel = std::get_if<CancelAtServer>(&it)) {
            m_timeline.after(serverLatency, [this, cancel = *cancel] {
                std::vector<standin::BackendResponse> out;
                m_servers.at(cancel.server)->cancel(cancel.key, m_timeline.now(), out);
                onReplies(cancel.server, out);
            });
        }
        if (const auto* result = std::get_if<ReturnResult>(&it)) {
            reached(result->result.key.request, Step::ResultSent);
            send(node.index, indexOf(result->entry), [this, result = result->result](Node& entry) {
                QueryActions out;
                entry.query->onLegResult(result, m_timeline.now(), out);
                execute(entry, out);
            });
        }
        if (const auto* news = std::get_if<AnnounceServer>(&it); news && m_options.mutation != Mutation::DrainNewsLost) {
            broadcast(node, [this, state = news->state](Node& to) {
                to.query->onServerState(state, m_timeline.now());
                RelayActions out;
                to.relay->onServerNews(state, m_timeline.now(), out);
                execute(to, out);
            });
        }
        if (const auto* crash = std::get_if<AnnounceCrash>(&it)) {
            broadcast(node, [this, crash = *crash, from = node.index](Node& to) {
                QueryActions out;
                to.query->onCrashNews({ crash.fingerprint, crash.crashes, crash.quarantine, crash.place.server }, m_timeline.now(), out);
                execute(to, out);
                if (to.index != from)
                    to.relay->onCrashNews(crash, m_timeline.now());
            });
        }
    }
    arm(node);
}

void RequestWorld::openConnection(Node& node, const OpenConnection& open)
{
    m_timeline.after(connectCost, [this, open, index = node.index, epoch = node.epoch] {
        if (!m_nodes[index]->isUp || m_nodes[index]->epoch != epoch)
            return;
        auto& links = m_links[open.server];
        const auto taken = links.size() + m_foreignConnections[open.server];
        const bool isRefused = m_servers.at(open.server)->isDown(m_timeline.now()) || taken >= m_history.connectionCaps.at(open.server);
        if (!m_foreignConnections[open.server]) {
            auto& most = m_history.mostConnections[open.server];
            most = std::max(most, static_cast<std::uint32_t>(links.size() + 1));
        }
        if (!isRefused)
            links.emplace(wireId(*m_nodes[index], open.connection), ServerLink { index, epoch, open.connection, std::nullopt });
        onNode(index, epoch, [this, open, isRefused](Node& it) {
            RelayActions out;
            if (isRefused)
                it.relay->onConnectionLost(open.server, open.connection, false, m_timeline.now(), out);
            else
                it.relay->onConnected(open.server, open.connection, m_timeline.now(), out);
            execute(it, out);
        });
    });
}

void RequestWorld::runLeg(Node& node, const RunLeg& run)
{
    const auto& leg = run.work.legs.front();
    const LegKey key { run.work.request, leg.leg, leg.attempt };
    const auto id = wireId(node, run.connection);
    auto& links = m_links[run.server];
    const auto link = links.find(id);
    if (link == links.end())
        return;
    link->second.leg = key;
    standin::BackendRequest request { id, key, run.work.kind, leg.shard, run.work.version, run.work.epoch, run.work.deadline, *run.work.body };
    if (m_options.mutation == Mutation::VersionIgnoredByServers && leg.shard.value() == 0)
        request.epoch = m_epoch;
    m_timeline.after(serverLatency, [this, server = run.server, id, request] {
        if (!m_links[server].contains(id))
            return;
        m_history.received[server].push_back(m_timeline.now());
        std::vector<standin::BackendResponse> out;
        m_servers.at(server)->receive(request, m_timeline.now(), out);
        onReplies(server, out);
    });
}

void RequestWorld::onReplies(const ServerName& server, const std::vector<standin::BackendResponse>& replies)
{
    for (const auto& it : replies) {
        if (it.status == 200) {
            m_history.outputs.push_back({ it.key, ShardNumber(static_cast<std::uint32_t>(std::stoul(server.value().substr(5)))), it.version, it.epoch, it.batches });
            reached(it.key.request, Step::LegAnswered);
        }
        m_timeline.after(serverLatency, [this, server, reply = it] { answerRelay(server, reply); });
    }
    const auto wake = m_servers.at(server)->nextWake();
    if (wake != never)
        m_timeline.at(wake, [this, server] { advanceServer(server); });
}

void RequestWorld::advanceServer(const ServerName& name)
{
    auto& server = *m_servers.at(name);
    if (server.nextWake() > m_timeline.now())
        return;
    const auto crashes = server.counters().crashes;
    std::vector<standin::BackendResponse> out;
    server.advance(m_timeline.now(), out);
    onReplies(name, out);
    if (server.counters().crashes == crashes)
        return;
    const auto isMarked = [&](const RunRecord& it) { return it.server == name && it.body.find(server.behaviour().crashMark) != std::string::npos; };
    const auto last = std::find_if(m_history.runs.rbegin(), m_history.runs.rend(), isMarked);
    m_history.crashes.push_back({ name, last->key.request });
    closeServerLinks(name);
}

void RequestWorld::closeServerLinks(const ServerName& server)
{
    const auto links = std::move(m_links[server]);
    m_links[server].clear();
    for (const auto& [id, link] : links) {
        m_timeline.after(serverLatency, [this, server, link = link] {
            onNode(link.node, link.epoch, [this, server, link](Node& it) {
                RelayActions out;
                it.relay->onConnectionLost(server, link.connection, link.leg.has_value(), m_timeline.now(), out);
                execute(it, out);
            });
        });
    }
}

void RequestWorld::answerRelay(const ServerName& server, const standin::BackendResponse& reply)
{
    auto& links = m_links[server];
    const auto link = links.find(reply.connection);
    if (link == links.end())
        return;
    link->second.leg.reset();
    ServerAnswer answer;
    answer.key = reply.key;
    answer.outcome = outcomeOf(reply);
    answer.version = reply.version;
    answer.epoch = reply.epoch;
    answer.batches = reply.batches;
    answer.body = reply.body;
    answer.versions = reply.versions;
    answer.draining = reply.draining && m_options.mutation != Mutation::DrainNewsLost;
    answer.retryAfter = reply.retryAfter;
    if (m_options.mutation == Mutation::AnswersSwapped)
        answer.body = "somebody else's";
    if (m_options.mutation == Mutation::VersionIgnoredByServers)
        answer.epoch = PartitionEpoch(1);
    onNode(link->second.node, link->second.epoch, [this, server, connection = link->second.connection, answer](Node& it) {
        RelayActions out;
        it.relay->onServerAnswer(server, connection, answer, m_timeline.now(), out);
        execute(it, out);
    });
}

}
