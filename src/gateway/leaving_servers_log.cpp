#include "gateway/leaving_servers_log.h"

#include <algorithm>
#include <initializer_list>
#include <string>

namespace lycheefield {

namespace {

/// The log names at most this many servers of one change.
constexpr std::size_t maxNamedServers = 8;

}

void logLeavingServers(const ServerChanges& changes, TimePoint now, DecisionLog& log)
{
    const auto write = [&](std::string_view event, std::initializer_list<LineField> fields) { log.write(LineImportance::State, now, event, fields); };
    const auto source = changes.origin.source();
    const auto epoch = std::to_string(changes.origin.epoch);
    const auto revision = std::to_string(changes.origin.revision);
    std::size_t draining = 0;
    for (const auto& it : changes.listed) {
        if (it.isDraining && ++draining <= maxNamedServers)
            write("server draining", { { "server", it.name.value() }, { "service", it.service.value() }, { "from", source }, { "epoch", epoch }, { "revision", revision } });
    }
    for (std::size_t i = 0; i < std::min(maxNamedServers, changes.removed.size()); ++i)
        write("server removed", { { "server", changes.removed[i].value() }, { "from", source }, { "epoch", epoch }, { "revision", revision } });
    if (draining > maxNamedServers || changes.removed.size() > maxNamedServers)
        write("many servers draining or removed", { { "draining", std::to_string(draining) }, { "gone", std::to_string(changes.removed.size()) } });
}

}
