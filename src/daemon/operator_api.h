#pragma once

#include "daemon/caller_api.h"
#include "daemon/control_status.h"
#include "daemon/relay_driver.h"
#include "daemon/request_admin.h"
#include "observe/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// The content of /readyz.
struct Readiness {
    bool isReady = false;
    std::string reason; ///< Why the instance is not ready.
};

/// Serves the HTTP paths for operators and the balancer. Thread safe.
class OperatorPaths final : public OperatorApi {
public:
    struct Parts {
        InstanceName self;
        const SharedTables& tables;
        EntryDriver& entry;
        RelayDriver& relay;
        RequestAdmin& requestAdmin;
        Metrics& metrics;
        std::function<Readiness()> readiness;
        std::function<ControlStatus()> control;
    };

    explicit OperatorPaths(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    bool handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&) override;

private:
    HttpResponse status() const;
    void handleRequestVerb(RequestVerb, std::string_view id, const std::shared_ptr<HttpExchange>&);
    HttpResponse ready() const;

    Parts m_parts;
};

}
