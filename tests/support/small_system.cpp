#include "support/small_system.h"

#include "rules/stored_rules.h"

#include <csignal>
#include <stdexcept>

namespace lycheefield {

namespace {

const std::vector<std::string> zones { "ikeja-a", "lekki-b", "ibadan-c" };

std::string rulesObject(const std::string& text)
{
    StoredRules rules;
    rules.revision = RuleRevision(1);
    rules.applyId = ApplyId("test");
    rules.text = text;
    return formatStoredRules(rules);
}

}

SmallSystem::SmallSystem(const standin::FleetPlan& plan, const std::string& rules, std::size_t instances, std::function<void(Settings&)> adjust)
    : m_adjust(std::move(adjust))
{
    m_platform = { "127.0.0.1", m_platformServer.listen("127.0.0.1", 0) };
    m_threads.emplace_back([this] { m_platformIo.run(); });
    m_fleet = std::make_unique<standin::BackendFleet>(m_fleetIo, plan, m_platform, m_clock);
    m_fleet->start();
    m_threads.emplace_back([this] { m_fleetIo.run(); });
    standin::httpCall(m_platform, "PUT", "/v1/objects/rules/current?if-version=0", rulesObject(rules));
    for (std::size_t i = 0; i < instances; ++i)
        startInstance(i);
    awaitReady();
}

SmallSystem::~SmallSystem()
{
    m_platformIo.stop();
    m_fleetIo.stop();
    for (auto& it : m_threads)
        it.join();
}

void SmallSystem::startInstance(std::size_t number)
{
    Settings settings;
    settings.instance.zone = ZoneName(zones[number % zones.size()]);
    settings.instance.name = InstanceName(settings.instance.zone.value() + "-" + std::to_string(number));
    settings.platform.endpoint = m_platform;
    settings.platform.listPeriod = 200ms;
    settings.drain.balancerLag = 200ms;
    if (m_adjust)
        m_adjust(settings);
    auto running = std::make_unique<Running>();
    running->daemon = std::make_unique<Daemon>(settings);
    if (!running->daemon->start())
        throw std::runtime_error("an instance failed to start; see its log on the standard error stream");
    running->http = running->daemon->httpEndpoint();
    running->thread = std::thread([it = running.get()] { it->exitCode = it->daemon->run(); });
    m_instances.push_back(std::move(running));
}

void SmallSystem::awaitReady() const
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        std::size_t alive = 0;
        while (alive < m_instances.size() || call(i, "GET", "/readyz").status != 200) {
            const auto status = call(i, "GET", "/status").body;
            alive = 0;
            for (auto at = status.find("\"alive\""); at != std::string::npos; at = status.find("\"alive\"", at + 1))
                ++alive;
        }
    }
}

standin::HttpResponse SmallSystem::call(std::size_t instance, const std::string& method, const std::string& target, const std::string& body, const std::map<std::string, std::string>& headers) const
{
    const auto response = standin::httpCall(m_instances[instance]->http, method, target, body, headers);
    return response ? *response : standin::HttpResponse();
}

std::vector<int> SmallSystem::stop()
{
    std::raise(SIGTERM);
    std::vector<int> codes;
    for (const auto& it : m_instances) {
        it->thread.join();
        codes.push_back(it->exitCode);
    }
    return codes;
}

}
