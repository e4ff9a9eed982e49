#pragma once

#include "cli/operator_access.h"

#include "base/endpoint.h"

#include <memory>

namespace lycheefield {

/// Returns an OperatorAccess over HTTP.
std::unique_ptr<OperatorAccess> makeNetworkAccess(const Endpoint& platform);

}
