#pragma once

#include "query/answer.h"

#include <string>
#include <string_view>

namespace lycheefield::history {

/// The answer that a caller got, read back from its JSON body. Throws std::exception when the body is no answer.
///
/// The body lists the batches of all shards in one row: they are left in the first covered shard, and
/// RecordedHistory gives them to their shards.
Answer readAnswer(std::string_view body);

}
