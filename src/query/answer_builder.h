#pragma once

#include "query/answer.h"
#include "query/query.h"

#include <optional>

namespace lycheefield {

/// Returns what the attempts so far prove about whether the request ran.
RunState runStateOf(const Query&);
/// Builds the answer from the shards covered so far. With a refusal the answer carries no results.
Answer buildAnswer(const Query&, std::optional<Error> refusal);
/// Returns the error for a request whose content is quarantined because it crashed servers.
Error quarantineRefusal();
/// Returns the error for a query with too little coverage, derived from the last outcomes of its legs.
Error refusalOf(const Query&, bool deadlinePassed);

}
