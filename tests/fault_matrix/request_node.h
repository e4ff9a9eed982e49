#pragma once

#include "fault_matrix/request_test_bed.h"

namespace lycheefield::fault_matrix {

/// One instance: its engines and its current tables.
struct RequestTestBed::Node {
    struct Tables final : TableSource {
        QueryTables tables;
        QueryTables newest() const override { return tables; }
    };

    std::size_t index = 0;
    std::uint64_t epoch = 0; ///< Incremented at each start of the instance.
    Instance self;
    std::shared_ptr<Tables> tables;
    std::unique_ptr<QueryEngine> query;
    std::unique_ptr<RelayEngine> relay;
    std::unique_ptr<ClaimEngine> claims;
    std::map<RequestId, CallerRequest> pendingClaims;
    std::set<RequestId> grantedClaims;
    bool isUp = true;
    bool isPaused = false;
    bool isDraining = false;
    TimePoint balancerSendsUntil = never; ///< While the instance drains: when the load balancer stops sending requests to it.
    std::vector<std::function<void()>> deferred; ///< Events that arrived while the instance is paused.
    std::uint64_t nextRequest = 1;
    TimePoint wakeAt = never;
};

}
