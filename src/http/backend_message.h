#pragma once

#include "base/leg.h"
#include "base/time.h"
#include "dispatch/relay_engine.h"
#include "http/http_message.h"

#include <optional>

namespace lycheefield {

/// Formats the request that runs a leg. Precondition: the order has exactly one leg.
HttpRequest formatRunRequest(const WorkOrder&, TimePoint now);
HttpRequest formatCancelRequest(const LegKey&);

/// Interprets a server's response to a leg. A refusal counts only with its X-Reason header:
/// without the header the leg may have run.
LegResponse parseRunResponse(const LegKey&, HttpResponse);
/// Parses a health report. Returns nothing when the report is malformed.
std::optional<HealthReport> parseHealthResponse(const HttpResponse&);

}
