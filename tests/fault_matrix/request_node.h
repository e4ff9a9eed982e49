#pragma once

#include "fault_matrix/request_world.h"

namespace lycheefield::fault_matrix {

/// One instance: its engines, and the tables that it has now.
struct RequestWorld::Node {
    struct Tables final : TableSource {
        QueryTables tables;
        QueryTables newest() const override { return tables; }
    };

    std::size_t index = 0;
    std::uint64_t epoch = 0; ///< Grows with each life.
    Instance self;
    std::shared_ptr<Tables> tables;
    std::unique_ptr<QueryEngine> query;
    std::unique_ptr<RelayEngine> relay;
    std::unique_ptr<ClaimEngine> claims;
    std::map<RequestId, CallerRequest> claiming;
    std::set<RequestId> granted;
    bool isUp = true;
    bool isPaused = false;
    bool isDraining = false;
    TimePoint balancerUntil = never; ///< While it drains: when the balancer stops sending to it.
    std::vector<std::function<void()>> held; ///< What comes while it stands still.
    std::uint64_t nextRequest = 1;
    TimePoint armed = never;
};

}
