#pragma once

#include "base/time.h"
#include "gateway/server_changes.h"
#include "observe/decision_log.h"

namespace lycheefield {

/// Logs the first draining and the first removed servers by name, and both total counts if there are more. Not thread safe.
void logLeavingServers(const ServerChanges&, TimePoint, DecisionLog&);

}
