#include "gateway/zone_drain_log.h"

#include <algorithm>
#include <string>

namespace lycheefield {

void logZoneDrains(const ZoneDrainChange& change, const std::map<ServerName, ServerEntry>& servers, TimePoint now, DecisionLog& log)
{
    const auto countIn = [&](const ZoneName& zone) {
        return std::to_string(std::count_if(servers.begin(), servers.end(), [&](const auto& it) { return it.second.zone == zone; }));
    };
    for (const auto& zone : change.begun) {
        const auto count = countIn(zone);
        log.write(LineImportance::State, now, "zone drained; its servers get no new work", { { "zone", zone.value() }, { "servers", count } });
    }
    for (const auto& it : change.ended) {
        const auto count = countIn(it.zone);
        const auto seconds = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(it.lasted).count());
        log.write(LineImportance::State, now, "drain of zone ended", { { "zone", it.zone.value() }, { "servers", count }, { "lasted_s", seconds } });
    }
}

}
