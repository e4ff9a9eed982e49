#pragma once

#include "daemon/daemon.h"
#include "settings/settings.h"
#include "standin/backend_fleet.h"
#include "standin/http_call.h"
#include "standin/platform_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lycheefield {

/// A platform, the servers of one service and several instances in one process, connected by loopback
/// sockets with ports that the kernel chooses. Instances stop on SIGTERM, as in production.
class SmallSystem {
public:
    /// Starts all parts and waits until each instance is ready and sees all others. `adjust` can change the
    /// settings of each instance before its start.
    SmallSystem(const standin::FleetPlan&, const std::string& rules, std::size_t instances, std::function<void(Settings&)> adjust = {});
    /// Precondition: stop() was called.
    ~SmallSystem();
    SmallSystem(const SmallSystem&) = delete;
    SmallSystem& operator=(const SmallSystem&) = delete;

    standin::HttpResponse call(std::size_t instance, const std::string& method, const std::string& target, const std::string& body = {}, const std::map<std::string, std::string>& headers = {}) const;
    /// Raises SIGTERM in this process, which stops every instance, and returns their exit codes.
    std::vector<int> stop();

private:
    struct Running {
        std::unique_ptr<Daemon> daemon;
        Endpoint http;
        int exitCode = -1;
        std::thread thread;
    };

    void startInstance(std::size_t number);
    void awaitReady() const;

    std::function<void(Settings&)> m_adjust;
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
    boost::asio::io_context m_platformIo;
    boost::asio::io_context m_fleetIo;
    Guard m_platformGuard { m_platformIo.get_executor() };
    Guard m_fleetGuard { m_fleetIo.get_executor() };
    SteadyClock m_clock;
    standin::PlatformServer m_platformServer { m_platformIo };
    Endpoint m_platform;
    std::unique_ptr<standin::BackendFleet> m_fleet;
    std::vector<std::thread> m_threads;
    std::vector<std::unique_ptr<Running>> m_instances;
};

}
