#pragma once

#include "load/observation.h"

#include <string>
#include <string_view>

namespace lycheefield {

struct CheckedAnswer {
    LoadOutcome outcome = LoadOutcome::Wrong;
    std::string why; ///< The reason for an outcome other than Complete or Partial.

    friend bool operator==(const CheckedAnswer&, const CheckedAnswer&) = default;
};

/// Verifies an answer: all results belong to the request whose body is given and to the stated snapshot, and
/// the coverage names exactly the shards that have a result. Requires backend servers that echo the request
/// body, as the stand-ins do. Thread safe.
CheckedAnswer checkAnswer(unsigned status, std::string_view answerBody, std::string_view requestBody);

}
