#pragma once

#include "claims/claim_engine.h"

#include <functional>
#include <string>

namespace lycheefield {

/// Grants the right to run requests that must run at most once. Thread safe.
class ClaimService {
public:
    using Handler = std::function<void(const ClaimDecided&)>;

    virtual ~ClaimService() = default;
    /// The handler runs exactly once, at the claim's deadline at the latest.
    virtual void claim(const ClaimRequest&, Handler) = 0;
    /// Records how a granted request ended.
    virtual void recordOutcome(const RequestId&, RunState, const std::string& answer) = 0;
    /// A granted request was not run: its key may be claimed again.
    virtual void release(const RequestId&) = 0;
    /// Claims undecided and outcomes not yet written.
    virtual std::size_t pending() const = 0;
};

}
