#pragma once

#include "query/answer.h"
#include "query/query.h"

#include <optional>

namespace lycheefield {

/// What the request's attempts so far prove about whether it ran.
RunState runStateOf(const Query&);
/// The answer with what is covered now. With a refusal the results are left out.
Answer buildAnswer(const Query&, std::optional<Error> refusal);
/// The refusal of content that crashed servers.
Error quarantineRefusal();
/// Why a query that covers too little is refused: from the legs' last outcomes.
Error refusalOf(const Query&, bool deadlinePassed);

}
