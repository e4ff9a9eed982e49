#pragma once

namespace lycheefield {

class ClaimsRole;
class Metrics;
class PlatformClient;

/// Registers the counters of the claims. Precondition: the role outlives the use of the metrics.
void addClaimMetrics(Metrics&, const ClaimsRole&);
/// Registers the counters of the calls to the platform. Precondition: the client outlives the use of the metrics.
void addPlatformMetrics(Metrics&, const PlatformClient&);

}
