#pragma once

#include "cli/operator_access.h"
#include "cli/report.h"

#include <string>
#include <vector>

namespace lycheefield {

/// What one instance says of itself.
struct InstanceStatus {
    Instance instance;
    bool answered = false;
    bool ready = false;
    std::string reason; ///< Why it is not ready.
    RuleRevision rules; ///< In force there; 0 when it did not answer.
    std::size_t inFlight = 0;
};

/// Asks every instance of the platform's list that is not leaving. Empty when there is no list.
std::vector<InstanceStatus> readFleet(OperatorAccess&);

/// Prints a line for each instance. Fails when one does not answer or is not ready.
ExitCode showStatus(OperatorAccess&, Report&);
/// Prints what happened to a request.
ExitCode explainRequest(const std::string& id, OperatorAccess&, Report&);
/// Cancels a request, whichever instance took it.
ExitCode cancelRequest(const std::string& id, OperatorAccess&, Report&);

}
