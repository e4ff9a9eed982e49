#pragma once

#include "forward/server_entry.h"
#include "observe/decision_log.h"
#include "placement/zone_drains.h"

#include <map>

namespace lycheefield {

/// Logs each drain of a zone that began or ended, with the number of listed servers in the zone. Not thread safe.
void logZoneDrains(const ZoneDrainChange&, const std::map<ServerName, ServerEntry>&, TimePoint, DecisionLog&);

}
