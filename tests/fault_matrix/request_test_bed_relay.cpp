#include "fault_matrix/request_node.h"

#include <algorithm>

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration connectDelay = 6ms;
constexpr Duration serverLatency = 500us;

LegOutcome outcomeOf(const standin::BackendResponse& response)
{
    if (response.status == 200)
        return LegOutcome::Ok;
    if (response.reason == "version-gone")
        return LegOutcome::VersionGone;
    if (response.reason == "shard-moved")
        return LegOutcome::ShardMoved;
    if (response.reason == "expired")
        return LegOutcome::Expired;
    if (response.reason == "cancelled")
        return LegOutcome::Cancelled;
    return response.reason == "failed" ? LegOutcome::Failed : LegOutcome::Refused;
}

}

std::uint64_t RequestTestBed::wireId(const Node& node, ConnectionId connection)
{
    constexpr std::uint64_t lives = 1000;
    constexpr std::uint64_t connections = 1000000;
    return (node.index * lives + node.epoch) * connections + connection.value();
}

void RequestTestBed::execute(Node& node, const RelayActions& actions)
{
    for (const auto& it : actions) {
        if (const auto* open = std::get_if<OpenConnection>(&it))
            openConnection(node, *open);
        if (const auto* close = std::get_if<CloseConnection>(&it))
            m_links[close->server].erase(wireId(node, close->connection));
        if (const auto* run = std::get_if<SendLeg>(&it))
            runLeg(node, *run);
        if (const auto* cancel = std::get_if<CancelAtServer>(&it)) {
            m_timeline.after(serverLatency, [this, cancel = *cancel] {
                std::vector<standin::BackendResponse> out;
                m_servers.at(cancel.server)->cancel(cancel.key, m_timeline.now(), out);
                onResponses(cancel.server, out);
            });
        }
        if (const auto* result = std::get_if<ReturnResult>(&it)) {
            reportStep(result->result.key.request, Step::ResultSent);
            send(node.index, indexOf(result->entry), [this, result = result->result](Node& entry) {
                QueryActions out;
                entry.query->onLegResult(result, m_timeline.now(), out);
                execute(entry, out);
            });
        }
        if (const auto* news = std::get_if<AnnounceServerState>(&it); news && m_options.mutation != Mutation::DrainNotAnnounced) {
            broadcast(node, [this, state = news->state](Node& to) {
                to.query->onServerState(state, m_timeline.now());
                RelayActions out;
                to.relay->onServerAnnounced(state, m_timeline.now(), out);
                execute(to, out);
            });
        }
        if (const auto* crash = std::get_if<AnnounceCrash>(&it)) {
            broadcast(node, [this, crash = *crash, from = node.index](Node& to) {
                QueryActions out;
                to.query->onCrashAnnounced({ crash.fingerprint, crash.crashes, crash.quarantine, crash.location.server }, m_timeline.now(), out);
                execute(to, out);
                if (to.index != from)
                    to.relay->onCrashAnnounced(crash, m_timeline.now());
            });
        }
    }
    scheduleWake(node);
}

void RequestTestBed::openConnection(Node& node, const OpenConnection& open)
{
    m_timeline.after(connectDelay, [this, open, index = node.index, epoch = node.epoch] {
        if (!m_nodes[index]->isUp || m_nodes[index]->epoch != epoch)
            return;
        auto& links = m_links[open.server];
        const auto openConnections = links.size() + m_foreignConnections[open.server];
        const bool isRefused = m_servers.at(open.server)->isDown(m_timeline.now()) || openConnections >= m_history.connectionCaps.at(open.server);
        if (!m_foreignConnections[open.server]) {
            auto& maximum = m_history.maxConnections[open.server];
            maximum = std::max(maximum, static_cast<std::uint32_t>(links.size() + 1));
        }
        if (!isRefused)
            links.emplace(wireId(*m_nodes[index], open.connection), ServerLink { index, epoch, open.connection, std::nullopt });
        runOnNode(index, epoch, [this, open, isRefused](Node& it) {
            RelayActions out;
            if (isRefused)
                it.relay->onConnectionLost(open.server, open.connection, false, m_timeline.now(), out);
            else
                it.relay->onConnected(open.server, open.connection, m_timeline.now(), out);
            execute(it, out);
        });
    });
}

void RequestTestBed::runLeg(Node& node, const SendLeg& run)
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
        onResponses(server, out);
    });
}

void RequestTestBed::onResponses(const ServerName& server, const std::vector<standin::BackendResponse>& responses)
{
    for (const auto& it : responses) {
        if (it.status == 200) {
            m_history.outputs.push_back({ it.key, ShardNumber(static_cast<std::uint32_t>(std::stoul(server.value().substr(5)))), it.version, it.epoch, it.batches });
            reportStep(it.key.request, Step::LegAnswered);
        }
        m_timeline.after(serverLatency, [this, server, response = it] { respondToRelay(server, response); });
    }
    const auto wake = m_servers.at(server)->nextWake();
    if (wake != never)
        m_timeline.at(wake, [this, server] { advanceServer(server); });
}

void RequestTestBed::advanceServer(const ServerName& name)
{
    auto& server = *m_servers.at(name);
    if (server.nextWake() > m_timeline.now())
        return;
    const auto crashes = server.counters().crashes;
    std::vector<standin::BackendResponse> out;
    server.advance(m_timeline.now(), out);
    onResponses(name, out);
    if (server.counters().crashes == crashes)
        return;
    const auto isMarked = [&](const RunRecord& it) { return it.server == name && it.body.find(server.behaviour().crashMark) != std::string::npos; };
    const auto last = std::find_if(m_history.runs.rbegin(), m_history.runs.rend(), isMarked);
    m_history.crashes.push_back({ name, last->key.request });
    closeServerLinks(name);
}

void RequestTestBed::closeServerLinks(const ServerName& server)
{
    const auto links = std::move(m_links[server]);
    m_links[server].clear();
    for (const auto& [id, link] : links) {
        m_timeline.after(serverLatency, [this, server, link = link] {
            runOnNode(link.node, link.epoch, [this, server, link](Node& it) {
                RelayActions out;
                it.relay->onConnectionLost(server, link.connection, link.leg.has_value(), m_timeline.now(), out);
                execute(it, out);
            });
        });
    }
}

void RequestTestBed::respondToRelay(const ServerName& server, const standin::BackendResponse& response)
{
    auto& links = m_links[server];
    const auto link = links.find(response.connection);
    if (link == links.end())
        return;
    link->second.leg.reset();
    LegResponse answer;
    answer.key = response.key;
    answer.outcome = outcomeOf(response);
    answer.version = response.version;
    answer.epoch = response.epoch;
    answer.batches = response.batches;
    answer.body = response.body;
    answer.versions = response.versions;
    answer.draining = response.draining && m_options.mutation != Mutation::DrainNotAnnounced;
    answer.retryAfter = response.retryAfter;
    if (m_options.mutation == Mutation::AnswersSwapped)
        answer.body = "somebody else's";
    if (m_options.mutation == Mutation::VersionIgnoredByServers)
        answer.epoch = PartitionEpoch(1);
    runOnNode(link->second.node, link->second.epoch, [this, server, connection = link->second.connection, answer](Node& it) {
        RelayActions out;
        it.relay->onLegResponse(server, connection, answer, m_timeline.now(), out);
        execute(it, out);
    });
}

}
