#include "http/http_server.h"

#include "base/accept_loop.h"
#include "http/http_server_session.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace lycheefield {

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(boost::asio::io_context& io, HttpHandler& handler, std::shared_ptr<const Clock> clock, std::shared_ptr<HttpServerCounters> counters, HttpLimits limits)
        : m_context { handler, std::move(clock), std::move(counters), std::make_shared<Snapshot<HttpLimits>>(std::move(limits)), std::make_shared<std::atomic<bool>>(false), {} }
        , m_acceptLoop(std::make_shared<AcceptLoop>(io))
    {
    }

    Result<Endpoint> listen(const Endpoint& endpoint)
    {
        m_context.onEnd = [weak = weak_from_this()](std::uint64_t id) {
            if (const auto self = weak.lock())
                self->remove(id);
        };
        return m_acceptLoop->listen(endpoint, "address", [self = shared_from_this()](boost::asio::ip::tcp::socket socket) { self->add(std::move(socket)); });
    }

    void setLimits(const HttpLimits& limits) { m_context.limits->publish(limits); }
    void closeAfterResponses() { m_context.draining->store(true); }

    void beginDrain()
    {
        closeAfterResponses();
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, session] : m_sessions)
            session->closeIfIdle();
    }

    bool isSending()
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto& it) { return it.second->isSending(); });
    }

    void stopListening() { m_acceptLoop->close(); }

    void close()
    {
        stopListening();
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, session] : m_sessions)
            session->close();
    }

private:
    void add(boost::asio::ip::tcp::socket socket)
    {
        const std::lock_guard lock(m_mutex);
        if (m_sessions.size() >= m_context.limits->read()->maxConnections) {
            ++m_context.counters->overConnectionLimit;
            return;
        }
        ++m_context.counters->connections;
        const auto id = ++m_lastId;
        auto session = std::make_shared<HttpServerSession>(id, std::move(socket), m_context);
        m_sessions.emplace(id, session);
        session->start();
    }

    void remove(std::uint64_t id)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(id);
    }

    HttpServerContext m_context;
    std::shared_ptr<AcceptLoop> m_acceptLoop;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<HttpServerSession>> m_sessions;
    std::uint64_t m_lastId = 0;
};

HttpServer::HttpServer(
    boost::asio::io_context& io, HttpHandler& handler, std::shared_ptr<const Clock> clock, std::shared_ptr<HttpServerCounters> counters, HttpLimits limits)
    : m_impl(std::make_shared<Impl>(io, handler, std::move(clock), std::move(counters), std::move(limits)))
{
}

HttpServer::~HttpServer() = default;

Result<Endpoint> HttpServer::listen(const Endpoint& endpoint)
{
    return m_impl->listen(endpoint);
}

void HttpServer::setLimits(const HttpLimits& limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

void HttpServer::beginDrain()
{
    m_impl->beginDrain();
}

bool HttpServer::isSending() const
{
    return m_impl->isSending();
}

void HttpServer::stopListening()
{
    m_impl->stopListening();
}

void HttpServer::close()
{
    m_impl->close();
}

}
