#pragma once

#include "base/clock.h"
#include "gateway/change_origin.h"
#include "gateway/forward_driver.h"
#include "http/http_server.h"
#include "observe/decision_log.h"
#include "routing/route_table.h"

#include <cstddef>

namespace lycheefield {

/// The configuration in force, as the driver and the callers' server are told of it. Not thread safe.
class KnownConfiguration {
public:
    /// maxConnections: of callers, whatever a configuration allows. Precondition: the clock, the driver, the server and the log outlive the
    /// object.
    KnownConfiguration(std::size_t maxConnections, const Clock&, ForwardDriver&, HttpServer& callers, DecisionLog&);

    /// Puts the configuration in force unless its version is not later than that of the one in force.
    void apply(RouteTable&&, const ChangeOrigin&);

private:
    void logState(std::string_view event, std::initializer_list<LineField> fields) { m_log.write(LineImportance::State, m_clock.now(), event, fields); }

    std::size_t m_maxConnections;
    const Clock& m_clock;
    ForwardDriver& m_driver;
    HttpServer& m_callers;
    DecisionLog& m_log;
};

}
