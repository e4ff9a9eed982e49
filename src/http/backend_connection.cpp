#include "http/backend_connection.h"

#include "http/backend_message.h"
#include "http/http_client_connection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration longestBackoff = std::chrono::seconds(5);
/// Cancellations that wait for the control connection; older ones are dropped, as they have lost their use.
constexpr std::size_t maxWaitingCancels = 256;
/// An answer that is larger ends its connection.
constexpr std::uint64_t maxAnswerBytes = 4U * 1024 * 1024;

HttpLimits answerLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxAnswerBytes;
    return limits;
}

/// Runs legs over one HTTP connection.
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
        m_connection = openHttpConnection(executor, endpoint, weak_from_this(), connectTimeout, answerLimits());
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

    void onResponse(HttpResponse reply) override
    {
        if (const auto events = m_events.lock())
            events->onBackendAnswer(m_server, m_id, parseRunReply(m_key, std::move(reply)));
    }

    void onLost(bool bytesHanded, const std::string&) override
    {
        if (const auto events = m_events.lock())
            events->onBackendLost(m_server, m_id, bytesHanded);
    }

private:
    ServerName m_server;
    ConnectionId m_id;
    std::weak_ptr<BackendEvents> m_events;
    std::shared_ptr<HttpClientConnection> m_connection;
    LegKey m_key;
};

/// The control connection over HTTP: cancellations first, health polls between them.
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
        if (m_cancels.size() >= maxWaitingCancels)
            m_cancels.pop_front();
        m_cancels.push_back(key);
        sendNext();
    }

    void pollHealth() override
    {
        m_wantsHealth = true;
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
        m_backoff = firstBackoff;
        m_isUp = true;
        sendNext();
    }

    void onResponse(HttpResponse reply) override
    {
        const bool wasHealth = std::exchange(m_pollInFlight, false);
        m_busy = false;
        const auto events = m_events.lock();
        if (wasHealth && events) {
            if (const auto report = parseHealthReply(reply))
                events->onBackendHealth(m_server, *report);
        }
        sendNext();
    }

    void onLost(bool, const std::string&) override
    {
        m_isUp = m_busy = m_pollInFlight = false;
        if (m_closed)
            return;
        m_timer.expires_after(m_backoff);
        m_backoff = std::min(longestBackoff, m_backoff * 2);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self && !self->m_closed)
                self->open();
        });
    }

private:
    void sendNext()
    {
        if (!m_isUp || m_busy || m_closed)
            return;
        if (!m_cancels.empty()) {
            m_busy = true;
            m_connection->send(formatCancelRequest(m_cancels.front()));
            m_cancels.pop_front();
        } else if (m_wantsHealth) {
            m_wantsHealth = false;
            m_busy = m_pollInFlight = true;
            m_connection->send({ "GET", "/v1/health", {}, {} });
        }
    }

    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    ServerName m_server;
    Endpoint m_endpoint;
    std::weak_ptr<BackendEvents> m_events;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::deque<LegKey> m_cancels;
    Duration m_backoff = firstBackoff;
    bool m_isUp = false;
    bool m_busy = false;
    bool m_wantsHealth = false;
    bool m_pollInFlight = false;
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
