#pragma once

#include "platform/instance_list.h"
#include "platform/platform_client.h"

#include <memory>

namespace lycheefield {

/// The platform's instance list over HTTP. Thread safe.
class HttpInstanceList final : public InstanceList {
public:
    /// Receives true when the platform accepted the report.
    using ReportHandler = std::function<void(bool)>;

    explicit HttpInstanceList(std::shared_ptr<PlatformClient>);

    void fetch(Handler) override;
    /// Reports this instance's ports and its state, live or leaving, to the platform.
    void report(const Instance&, ReportHandler);

private:
    std::shared_ptr<PlatformClient> m_client;
};

}
