#pragma once

#include "query/answer.h"

#include <string>
#include <string_view>

namespace lycheefield::history {

/// Parses the JSON body of an answer to a caller. Throws std::exception when the body is not an answer.
///
/// The body lists the batches of all shards in one array. This function stores all of them in the first covered
/// shard; RecordedHistory assigns each batch to its shard.
Answer readAnswer(std::string_view body);

}
