#pragma once

#include "claims/claim_engine.h"

#include <functional>
#include <string>

namespace lycheefield {

/// Grants claims: the right to run a request that must run at most once. Thread safe.
class ClaimService {
public:
    using Handler = std::function<void(const ClaimDecided&)>;

    virtual ~ClaimService() = default;
    /// Requests a claim. The handler is called exactly once, at the claim's deadline at the latest.
    virtual void claim(const ClaimRequest&, Handler) = 0;
    /// Records the outcome of a granted request.
    virtual void recordOutcome(const RequestId&, RunState, const std::string& answer) = 0;
    /// Releases the key of a granted request that did not run, so that the key can be claimed again.
    virtual void release(const RequestId&) = 0;
    /// Returns the number of undecided claims and of outcomes that are not written yet.
    virtual std::size_t pending() const = 0;
};

}
