#pragma once

#include "daemon/caller_api.h"
#include "daemon/control_status.h"
#include "daemon/relay_driver.h"
#include "observe/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// What /readyz tells.
struct Readiness {
    bool isReady = false;
    std::string reason; ///< Why it is not.
};

/// The paths for operators and the balancer. Thread safe.
class OperatorPaths final : public OperatorApi {
public:
    struct Parts {
        InstanceName self;
        const SharedTables& tables;
        EntryDriver& entry;
        RelayDriver& relay;
        RequestLog& log;
        Metrics& metrics;
        std::function<Readiness()> readiness;
        std::function<void(const RequestId&, std::function<void(HttpReply)>)> cancel; ///< Cancels wherever the request is.
        std::function<ControlStatus()> control;
    };

    explicit OperatorPaths(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    bool handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&) override;

private:
    HttpReply status() const;
    HttpReply trace(std::string_view id) const;
    HttpReply ready() const;

    Parts m_parts;
};

}
