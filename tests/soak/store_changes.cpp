#include "quota_role_log.h"
#include "soak_test_bed.h"

#include <sstream>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t teamCount = 8;

}

void SoakTestBed::writeEntry(SoakBackend& server)
{
    m_writtenServers.insert(server.name());
    m_store.put("servers", server.name(), server.entry(server.drainDeadline != never));
}

void SoakTestBed::drain(SoakBackend& server)
{
    if (server.drainDeadline != never || !areAllUndisturbed())
        return;
    countFault("drain", server.name());
    server.drainDeadline = m_clock.now() + drainLimit;
    writeEntry(server);
    runAfter(drainLimit + drainCheckTime, [this, &server] {
        server.drainDeadline = never;
        writeEntry(server);
    });
}

void SoakTestBed::drainZone(const std::string& zone)
{
    if (!areAllUndisturbed())
        return;
    countFault("drain of a zone", zone);
    m_drainedZones.insert(zone);
    m_store.put("evacuations", zone, "{}");
    const auto setDeadlines = [this, zone](TimePoint deadline) {
        for (const auto& it : m_backends) {
            if (it->zone() == zone)
                it->zoneDrainDeadline = deadline;
        }
    };
    setDeadlines(m_clock.now() + drainLimit);
    runAfter(drainLimit + drainCheckTime - 100ms, [this, zone, setDeadlines] {
        setDeadlines(never);
        m_drainedZones.erase(zone);
        m_store.remove("evacuations", zone);
    });
}

void SoakTestBed::changeStore()
{
    // A copy from now lacks the changes that are in force everywhere when the store comes back from it.
    if (m_random.below(2) == 0)
        loseStoreWrites(applyLimit + 200ms);
    drain(*m_backends[m_random.below(m_backends.size())]);
    drainZone(zones[m_version % zones.size()]);
    publishNextConfiguration();
    // The change must be in force in time whatever the callers send.
    if (m_random.below(2) == 0)
        return;
    auto& node = *m_nodes[m_random.below(m_nodes.size())];
    runAfter(randomDuration(0ms, applyLimit / 2), [this, &node] { burstSearches(node, 1 + m_random.below(maxBursts)); });
}

std::string SoakTestBed::teams()
{
    std::string teams;
    for (std::size_t i = 0; i < teamCount; ++i)
        teams += (i == 0 ? "" : ",") + std::string(R"({"name":"team)") + std::to_string(i) + R"(","apiKeys":["key)" + std::to_string(i) + R"("],"ratePerS":20,"burst":10,"priority":1})";
    return teams;
}

void SoakTestBed::checkQuotaRoles()
{
    QuotaRoleLog roles;
    for (const auto& it : m_nodes) {
        std::istringstream log(it->process->log());
        roles.add(it->process->name(), log);
    }
    m_faults["role for a team's quota gained"] = roles.gains();
    if (roles.overlaps() > 0)
        m_checker.fail("two gateways had the role for a team's quota at the same time");
}

void SoakTestBed::publishConfiguration()
{
    std::string shards;
    std::string services = R"({"name":"orders","maxConns":200})";
    for (const auto& it : shardNames()) {
        shards += (shards.empty() ? "\"" : ",\"") + it + "\"";
        services += R"(,{"name":")" + it + R"(","maxConns":200})";
    }
    m_store.put("config", "main",
        R"({"version":)" + std::to_string(m_version) + R"(,"routes":[{"name":"s","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":2500,"targetLatencyMs":200,"priority":0,"gather":[)"
            + shards + R"(],"attempts":2,"topK":5,"minShardRatio":0.75,"public":true},{"name":"o","host":"a.example","pathPrefix":"/o/","routeType":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"orders","attempts":2,"public":true},{"name":"v","host":"a.example","pathPrefix":"/v)"
            + std::to_string(m_version) + R"(/","routeType":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"orders","attempts":2,"public":true}],"services":[)"
            + services + R"(],"tenants":[)" + teams() + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

void SoakTestBed::publishNextConfiguration()
{
    m_previousVersion = std::exchange(m_version, m_version + 1 + m_random.below(5));
    m_publishedAt = m_clock.now();
    countFault("configuration published", std::to_string(m_version));
    publishConfiguration();
    runAfter(applyLimit, [this, added = m_version, dropped = m_previousVersion] {
        for (const auto& it : m_nodes) {
            if (!isUndisturbed(*it) || !it->isExpectedToRun)
                continue;
            probeConfiguration("probe of a changed configuration", *it, added, dropped);
        }
    });
}

void SoakTestBed::probeConfiguration(const std::string& reason, Node& node, std::uint64_t added, std::uint64_t dropped)
{
    std::string detail;
    for (const auto version : { added, dropped }) {
        auto request = newRequest(node, false, "/v" + std::to_string(version) + "/");
        request.isRouted = version == added;
        sendRequest(node, request);
        detail += (detail.empty() ? "" : ", ") + request.id + " for version " + std::to_string(version);
    }
    countFault(reason, detail);
}

}
