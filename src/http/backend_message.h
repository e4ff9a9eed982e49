#pragma once

#include "base/leg.h"
#include "base/time.h"
#include "dispatch/relay_engine.h"
#include "http/http_message.h"

#include <optional>

namespace lycheefield {

/// The request that runs one leg. Precondition: the order has exactly one leg.
HttpRequest formatRunRequest(const WorkOrder&, TimePoint now);
HttpRequest formatCancelRequest(const LegKey&);

/// What a server's reply to a leg means. A refusal is believed only with its reason: without one
/// the leg may have run.
ServerAnswer parseRunReply(const LegKey&, HttpResponse);
/// Empty when the report can't be read.
std::optional<HealthReport> parseHealthReply(const HttpResponse&);

}
