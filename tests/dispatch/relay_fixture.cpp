#include "dispatch/relay_fixture.h"

namespace lycheefield {

RelayFixture::RelayFixture(const RelaySettings& settings)
    : m_engine(makeRelayEngine(settings, InstanceName("self"), std::make_unique<SeededRandom>(1)))
{
}

void RelayFixture::run(Duration duration)
{
    const auto end = m_now + duration;
    while (m_engine->nextWake() <= end) {
        m_now = std::max(m_now, m_engine->nextWake());
        m_engine->onTimer(m_now, m_actions);
    }
    m_now = end;
}

void RelayFixture::addServer(const std::string& name, std::uint32_t shard, bool leaving)
{
    Server server;
    server.name = ServerName(name);
    server.zone = ZoneName("a");
    server.service = ServiceName("quotedesk");
    server.slots = slots;
    server.connectionCap = connectionCap;
    server.leaving = leaving;
    server.endpoint.port = static_cast<std::uint16_t>(shard); // Holds the shard number until publish().
    std::erase_if(m_servers, [&](const auto& it) { return it.name == server.name; });
    m_servers.push_back(server);
    m_shards = std::max(m_shards, shard + 1);
}

void RelayFixture::publish(const std::vector<std::string>& instances, bool isDirect)
{
    Service service;
    service.name = ServiceName("quotedesk");
    for (std::uint32_t i = 0; i < m_shards; ++i) {
        Shard shard { ShardNumber(i), {}, {} };
        for (const auto& it : m_servers) {
            if (it.endpoint.port == i)
                shard.replicas.push_back(it.name);
        }
        service.shards.push_back(shard);
    }
    std::vector<Instance> members;
    for (const auto& it : instances) {
        Instance instance;
        instance.name = InstanceName(it);
        instance.zone = ZoneName("a");
        members.push_back(instance);
    }
    const auto map = std::make_shared<const ShardMap>(std::vector<Service> { service }, m_servers);
    const MembershipView view(members);
    const auto ownership = isDirect ? Ownership::ofDirectRouting(InstanceName("self"), view, *map) : Ownership(view, *map);
    m_engine->onTables(map, std::make_shared<const Ownership>(ownership), m_now, m_actions);
}

WorkOrder RelayFixture::order(std::uint64_t request, const std::string& server, Priority priority, Duration budget) const
{
    WorkOrder order;
    order.request = { ProcessLife(7), request };
    order.entry = InstanceName("entry");
    order.service = ServiceName("quotedesk");
    order.priority = priority;
    order.deadline = m_now + budget;
    order.fingerprint = Fingerprint(request);
    order.legs.push_back({ LegNumber(0), AttemptNumber(0), ShardNumber(0), ServerName(server) });
    return order;
}

void RelayFixture::connectAll()
{
    for (const auto& it : take<OpenConnection>())
        m_engine->onConnected(it.server, it.connection, m_now, m_actions);
}

void RelayFixture::respond(const SendLeg& run, LegOutcome outcome, bool draining)
{
    LegResponse response;
    response.key = { run.work.request, run.work.legs[0].leg, run.work.legs[0].attempt };
    response.outcome = outcome;
    response.draining = draining;
    m_engine->onLegResponse(run.server, run.connection, response, m_now, m_actions);
}

void RelayFixture::dropConnection(const SendLeg& run, bool bytesWritten)
{
    m_engine->onConnectionLost(run.server, run.connection, bytesWritten, m_now, m_actions);
}

}
