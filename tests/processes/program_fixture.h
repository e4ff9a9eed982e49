#pragma once

#include "http/http_client_connection.h"
#include "standin/published_store.h"
#include "support/gateway_process.h"

#include <boost/asio/strand.hpp>

#include <doctest/doctest.h>

#include <sys/wait.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

/// Longest wait for what must happen; reached only when a test fails.
inline constexpr Duration maxWait = 30s;
/// Enough of an earlier program's work for a port that is in use to be noticed.
inline constexpr Duration startTime = 1s;

/// A folder of the test, removed at its end.
struct TestFolder {
    TestFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "lycheefield-XXXXXX").string();
        path = mkdtemp(name.data());
    }
    ~TestFolder() { std::filesystem::remove_all(path); }
    TestFolder(const TestFolder&) = delete;
    TestFolder& operator=(const TestFolder&) = delete;

    std::string path;
};

/// The status of one response to a request for readiness; empty when there is none. The connection is closed after it.
class ReadinessProbe final : public HttpClientEvents, public std::enable_shared_from_this<ReadinessProbe> {
public:
    void send(boost::asio::io_context& io, const Endpoint& endpoint) { m_connection = openHttpConnection(boost::asio::make_strand(io), endpoint, weak_from_this(), 1s); }
    void onConnected() override { m_connection->send({ "GET", "/ready", {}, "" }); }
    void onResponse(HttpResponse response) override
    {
        status = response.status;
        m_connection->close();
    }
    void onLost(bool, const std::string&) override { isLost = true; }

    std::optional<unsigned> status;
    bool isLost = false;

private:
    std::shared_ptr<HttpClientConnection> m_connection;
};

/// A stand-in store with a configuration and one server, for gateway programs.
struct ProgramFixture {
    ProgramFixture()
        : store(io)
        , storeEndpoint(store.listen().value())
    {
        store.put("config", "main", R"({"version":1,"routes":[{"name":"o","host":"a.example","pathPrefix":"/o/","routeType":"idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":1,"service":"x","attempts":2}],"services":[{"name":"x","maxConns":26}]})");
        store.put("servers", "i-1", R"({"service":"x","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1})");
    }

    GatewayProcess makeProcess(const std::string& name, GatewayProcessOptions options = {}) { return { LYCHEEFIELD_GATEWAY_PROGRAM, folder.path, name, "a", storeEndpoint, std::move(options) }; }

    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const auto end = clock.now() + maxWait;
        while (!condition()) {
            if (clock.now() > end)
                return false;
            io.restart();
            io.run_for(5ms);
        }
        return true;
    }
    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }
    /// Returns the status of the readiness response; 0 when there is none.
    unsigned readiness(const GatewayProcess& process)
    {
        const auto probe = std::make_shared<ReadinessProbe>();
        probe->send(io, process.readiness());
        waitUntil([&] { return probe->status || probe->isLost; });
        return probe->status.value_or(0);
    }
    bool becomesReady(const GatewayProcess& process)
    {
        return waitUntil([&] { return readiness(process) == 200; });
    }
    /// Returns the exit code of the process, or the negative number of the signal that ended it.
    int exitOf(GatewayProcess& process)
    {
        std::optional<int> status;
        REQUIRE(waitUntil([&] { return (status = process.takeExitStatus()).has_value(); }));
        return WIFEXITED(*status) ? WEXITSTATUS(*status) : -WTERMSIG(*status);
    }

    TestFolder folder;
    boost::asio::io_context io { 1 };
    SteadyClock clock;
    standin::PublishedStoreServer store;
    Endpoint storeEndpoint;
};

}
