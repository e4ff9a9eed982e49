#pragma once

#include "load/observation.h"

#include <string>
#include <string_view>

namespace lycheefield {

struct CheckedAnswer {
    LoadOutcome outcome = LoadOutcome::Wrong;
    std::string why;

    friend bool operator==(const CheckedAnswer&, const CheckedAnswer&) = default;
};

/// Judges an answer as a suspicious caller would: it belongs to the request whose body is given, all
/// results reflect the stated snapshot, and the coverage names exactly the shards that have a result.
/// Needs backend servers that echo the body, as the stand-ins do. Thread safe.
CheckedAnswer checkAnswer(unsigned status, std::string_view answerBody, std::string_view requestBody);

}
