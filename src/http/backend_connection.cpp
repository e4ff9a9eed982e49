#include "http/backend_connection.h"

#include "http/backend_message.h"
#include "http/http_client_connection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration initialBackoff = std::chrono::milliseconds(100);
constexpr Duration maxBackoff = std::chrono::seconds(5);
/// Pause after a connection that this process lacked the resources to open. They become free at any time, so the pause stays the same.
constexpr Duration localRetryDelay = std::chrono::milliseconds(50);
/// Maximum number of cancellations that wait for the control connection. The oldest are dropped first, as their legs have probably ended.
constexpr std::size_t maxPendingCancels = 256;
/// A response with a larger body ends its connection.
constexpr std::uint64_t maxResponseBytes = 4U * 1024 * 1024;

HttpLimits responseLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxResponseBytes;
    return limits;
}

/// Runs legs over an HTTP connection.
class HttpBackendConnection final : public BackendConnection, public HttpClientEvents, public std::enable_shared_from_this<HttpBackendConnection> {
public:
    HttpBackendConnection(const Server& server, ConnectionId id, std::weak_ptr<BackendEvents> events)
        : m_server(server.name)
        , m_id(id)
        , m_events(std::move(events))
    {
    }

    void open(const boost::asio::any_io_executor& executor, const Endpoint& endpoint)
    {
        m_connection = openHttpConnection(executor, endpoint, weak_from_this(), connectTimeout, responseLimits());
    }

    void run(const WorkOrder& work, TimePoint now) override
    {
        const auto& leg = work.legs.front();
        m_key = { work.request, leg.leg, leg.attempt };
        m_connection->send(formatRunRequest(work, now));
    }

    void close() override
    {
        m_events.reset();
        m_connection->close();
    }

    void onConnected() override
    {
        if (const auto events = m_events.lock())
            events->onBackendConnected(m_server, m_id);
    }

    void onResponse(HttpResponse response) override
    {
        if (const auto events = m_events.lock())
            events->onBackendResponse(m_server, m_id, parseRunResponse(m_key, std::move(response)));
    }

    void onLost(bool bytesWritten, const std::string&) override
    {
        const auto events = m_events.lock();
        if (!events)
            return;
        if (m_connection->lackedResources())
            events->onBackendNotOpened(m_server, m_id);
        else
            events->onBackendDisconnected(m_server, m_id, bytesWritten);
    }

private:
    ServerName m_server;
    ConnectionId m_id;
    std::weak_ptr<BackendEvents> m_events;
    std::shared_ptr<HttpClientConnection> m_connection;
    LegKey m_key;
};

/// Control connection over HTTP. Cancellations are sent before a pending health poll.
class HttpBackendControl final : public BackendControl, public HttpClientEvents, public std::enable_shared_from_this<HttpBackendControl> {
public:
    HttpBackendControl(boost::asio::any_io_executor executor, const Server& server, std::weak_ptr<BackendEvents> events)
        : m_executor(std::move(executor))
        , m_timer(m_executor)
        , m_server(server.name)
        , m_endpoint(server.endpoint)
        , m_events(std::move(events))
    {
    }

    void open() { m_connection = openHttpConnection(m_executor, m_endpoint, weak_from_this(), connectTimeout); }

    void cancel(const LegKey& key) override
    {
        if (m_pendingCancels.size() >= maxPendingCancels)
            m_pendingCancels.pop_front();
        m_pendingCancels.push_back(key);
        sendNext();
    }

    void pollHealth() override
    {
        m_healthPollPending = true;
        sendNext();
    }

    void close() override
    {
        m_closed = true;
        m_timer.cancel();
        if (m_connection)
            m_connection->close();
    }

    void onConnected() override
    {
        m_backoff = initialBackoff;
        m_isConnected = true;
        sendNext();
    }

    void onResponse(HttpResponse response) override
    {
        const bool isHealthResponse = std::exchange(m_healthPollInFlight, false);
        m_requestInFlight = false;
        const auto events = m_events.lock();
        if (isHealthResponse && events) {
            if (const auto report = parseHealthResponse(response))
                events->onBackendHealth(m_server, *report);
        }
        sendNext();
    }

    void onLost(bool, const std::string&) override
    {
        m_isConnected = m_requestInFlight = m_healthPollInFlight = false;
        if (m_closed)
            return;
        if (m_connection->lackedResources()) {
            m_timer.expires_after(localRetryDelay);
        } else {
            m_timer.expires_after(m_backoff);
            m_backoff = std::min(maxBackoff, m_backoff * 2);
        }
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self && !self->m_closed)
                self->open();
        });
    }

private:
    void sendNext()
    {
        if (!m_isConnected || m_requestInFlight || m_closed)
            return;
        if (!m_pendingCancels.empty()) {
            m_requestInFlight = true;
            m_connection->send(formatCancelRequest(m_pendingCancels.front()));
            m_pendingCancels.pop_front();
        } else if (m_healthPollPending) {
            m_healthPollPending = false;
            m_requestInFlight = m_healthPollInFlight = true;
            m_connection->send({ "GET", "/v1/health", {}, {} });
        }
    }

    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    ServerName m_server;
    Endpoint m_endpoint;
    std::weak_ptr<BackendEvents> m_events;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::deque<LegKey> m_pendingCancels;
    Duration m_backoff = initialBackoff;
    bool m_isConnected = false;
    bool m_requestInFlight = false;
    bool m_healthPollPending = false;
    bool m_healthPollInFlight = false;
    bool m_closed = false;
};

class HttpBackendConnector final : public BackendConnector {
public:
    std::shared_ptr<BackendConnection> open(
        const boost::asio::any_io_executor& executor, const Server& server, ConnectionId id, std::weak_ptr<BackendEvents> events) override
    {
        auto connection = std::make_shared<HttpBackendConnection>(server, id, std::move(events));
        connection->open(executor, server.endpoint);
        return connection;
    }

    std::shared_ptr<BackendControl> openControl(
        const boost::asio::any_io_executor& executor, const Server& server, std::weak_ptr<BackendEvents> events) override
    {
        auto control = std::make_shared<HttpBackendControl>(executor, server, std::move(events));
        control->open();
        return control;
    }
};

}

std::unique_ptr<BackendConnector> makeHttpBackendConnector()
{
    return std::make_unique<HttpBackendConnector>();
}

}
