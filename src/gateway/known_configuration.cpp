#include "gateway/known_configuration.h"

#include <memory>
#include <string>
#include <utility>

namespace lycheefield {

KnownConfiguration::KnownConfiguration(std::size_t maxConnections, const Clock& clock, ForwardDriver& driver, HttpServer& callers, DecisionLog& log)
    : m_maxConnections(maxConnections)
    , m_clock(clock)
    , m_driver(driver)
    , m_callers(callers)
    , m_log(log)
{
}

void KnownConfiguration::apply(RouteTable&& table, const ChangeOrigin& origin)
{
    const auto current = m_driver.routes();
    const auto version = std::to_string(table.version);
    const auto epoch = std::to_string(origin.epoch);
    const auto revision = std::to_string(origin.revision);
    if (current && table.version < current->version)
        logState("configuration ignored; a later version is in force", { { "version", version }, { "in_force", std::to_string(current->version) }, { "from", origin.source() }, { "epoch", epoch }, { "revision", revision } });
    if (current && table.version <= current->version)
        return;
    const auto before = current ? std::to_string(current->version) : std::string("none");
    const auto routes = std::to_string(table.routes.size());
    table.callerLimits.maxConnections = m_maxConnections;
    m_callers.setLimits(table.callerLimits);
    const auto teams = table.teams;
    m_driver.setRoutes(std::make_shared<const RouteTable>(std::move(table)));
    logState("configuration applied", { { "version", version }, { "before", before }, { "routes", routes }, { "from", origin.source() }, { "epoch", epoch }, { "revision", revision } });
    if (teams)
        logState("teams applied", { { "teams", std::to_string(teams->teams().size()) }, { "keys_of_several_teams", std::to_string(teams->ambiguousKeys()) } });
}

}
