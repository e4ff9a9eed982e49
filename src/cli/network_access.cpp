#include "cli/network_access.h"

#include "base/clock.h"
#include "http/http_client_connection.h"
#include "platform/http_instance_list.h"
#include "platform/http_object_store.h"
#include "platform/platform_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace lycheefield {

namespace {

constexpr Duration instanceTimeout = std::chrono::seconds(1);
constexpr std::uint64_t maxResponseBytes = 16 * 1024 * 1024;

/// One request to one instance, on a separate connection.
class SingleCall final : public HttpClientEvents, public std::enable_shared_from_this<SingleCall> {
public:
    explicit SingleCall(HttpRequest request)
        : m_request(std::move(request))
    {
    }

    void start(const boost::asio::any_io_executor& executor, const Endpoint& endpoint)
    {
        HttpLimits limits;
        limits.maxBodyBytes = maxResponseBytes;
        limits.messageTimeout = instanceTimeout;
        m_connection = openHttpConnection(executor, endpoint, weak_from_this(), instanceTimeout, limits);
    }
    void onConnected() override { m_connection->send(m_request); }
    void onResponse(HttpResponse response) override
    {
        m_response = std::move(response);
        end();
    }
    void onLost(bool, const std::string&) override { m_isDone = true; }
    void end()
    {
        m_isDone = true;
        m_connection->close();
    }

    bool isDone() const { return m_isDone; }
    std::optional<HttpResponse>& response() { return m_response; }

private:
    HttpRequest m_request;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::optional<HttpResponse> m_response;
    bool m_isDone = false;
};

class NetworkAccess final : public OperatorAccess {
public:
    explicit NetworkAccess(const Endpoint& platform)
    {
        PlatformClientSettings settings;
        settings.endpoint = platform;
        m_client = std::make_shared<PlatformClient>(m_io.get_executor(), settings);
        m_store = std::make_unique<HttpObjectStore>(m_client);
        m_list = std::make_unique<HttpInstanceList>(m_client);
    }

    OperatorStoreResponse read(const std::string& key) override
    {
        std::optional<OperatorStoreResponse> response;
        m_store->read(key, [&](StoreStatus status, StoredObject object) { response = OperatorStoreResponse { status, std::move(object) }; });
        return await(response);
    }

    OperatorStoreResponse write(const std::string& key, ObjectVersion expected, const std::string& value) override
    {
        std::optional<OperatorStoreResponse> response;
        m_store->write(key, expected, value, [&](StoreStatus status, StoredObject object) { response = OperatorStoreResponse { status, std::move(object) }; });
        return await(response);
    }

    WatchBatch list(const std::string& prefix) override
    {
        std::optional<WatchBatch> batch;
        m_store->list(prefix, [&](WatchBatch it) { batch = std::move(it); });
        return await(batch);
    }

    std::optional<std::vector<Instance>> instances() override
    {
        std::optional<std::optional<std::vector<Instance>>> list;
        m_list->fetch([&](std::optional<std::vector<Instance>> it) { list = std::move(it); });
        return await(list);
    }

    std::optional<HttpResponse> call(const Instance& instance, const HttpRequest& request) override
    {
        auto call = std::make_shared<SingleCall>(request);
        call->start(boost::asio::make_strand(m_io), instance.http);
        boost::asio::steady_timer timer(m_io, instanceTimeout);
        timer.async_wait([call](const boost::system::error_code& ec) {
            if (!ec)
                call->end();
        });
        runUntil([&] { return call->isDone(); });
        return std::move(call->response());
    }

    void pause(Duration duration) override
    {
        bool isOver = false;
        boost::asio::steady_timer timer(m_io, duration);
        timer.async_wait([&](const boost::system::error_code&) { isOver = true; });
        runUntil([&] { return isOver; });
    }

    TimePoint now() const override { return m_clock.now(); }

private:
    template <typename Done>
    void runUntil(Done isDone)
    {
        m_io.restart();
        while (!isDone() && m_io.run_one() > 0) { }
    }

    template <typename T>
    T await(std::optional<T>& result)
    {
        runUntil([&] { return result.has_value(); });
        return std::move(result).value_or(T());
    }

    SteadyClock m_clock;
    boost::asio::io_context m_io { 1 };
    std::shared_ptr<PlatformClient> m_client;
    std::unique_ptr<HttpObjectStore> m_store;
    std::unique_ptr<HttpInstanceList> m_list;
};

}

std::unique_ptr<OperatorAccess> makeNetworkAccess(const Endpoint& platform)
{
    return std::make_unique<NetworkAccess>(platform);
}

}
