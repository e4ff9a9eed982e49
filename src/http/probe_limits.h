#pragma once

#include "http/http_limits.h"

namespace lycheefield {

/// Returns the limits of a server for readiness checks or metrics. Few clients call it, so it holds few descriptors, whoever
/// opens connections to it, and closes idle ones early. Thread safe.
HttpLimits probeLimits();

}
