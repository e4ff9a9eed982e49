#pragma once

#include "cli/operator_access.h"
#include "cli/report.h"

#include <string>
#include <vector>

namespace lycheefield {

/// Status of one instance as the instance reports it.
struct InstanceStatus {
    Instance instance;
    bool answered = false;
    bool ready = false;
    std::string reason; ///< Why the instance is not ready.
    RuleRevision rules; ///< Revision in force on the instance; 0 without a response.
    std::size_t inFlight = 0;
};

/// Reads the status of every instance in the platform's list that is not leaving. Empty without a list.
std::vector<InstanceStatus> readFleet(OperatorAccess&);

/// Prints a line for each instance. Fails when any instance does not respond or is not ready.
ExitCode showStatus(OperatorAccess&, Report&);
/// Prints what happened to a request.
ExitCode explainRequest(const std::string& id, OperatorAccess&, Report&);
/// Cancels a request on the instance that took it, whichever that is.
ExitCode cancelRequest(const std::string& id, OperatorAccess&, Report&);

}
