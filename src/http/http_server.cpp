#include "http/http_server.h"

#include "base/listening_socket.h"
#include "http/http_server_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <mutex>

namespace lycheefield {

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(boost::asio::io_context& io, HttpHandler& handler, std::shared_ptr<const Clock> clock, std::shared_ptr<HttpServerCounters> counters, HttpLimits limits)
        : m_io(io)
        , m_context { handler, std::move(clock), std::move(counters), std::make_shared<Snapshot<HttpLimits>>(limits), std::make_shared<std::atomic<bool>>(false), {} }
        , m_acceptor(boost::asio::make_strand(io))
    {
    }

    Result<Endpoint> listen(const Endpoint& endpoint)
    {
        m_context.onEnd = [weak = weak_from_this()](std::uint64_t id) {
            if (const auto self = weak.lock())
                self->remove(id);
        };
        const auto local = listenOn(m_acceptor, endpoint, "address");
        if (local)
            accept();
        return local;
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

    void stopListening()
    {
        boost::asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ec;
            self->m_acceptor.close(ec);
        });
    }

    void close()
    {
        stopListening();
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, session] : m_sessions)
            session->close();
    }

private:
    void accept()
    {
        m_acceptor.async_accept(boost::asio::make_strand(m_io),
            [self = shared_from_this()](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) { self->onAccepted(ec, std::move(socket)); });
    }

    void onAccepted(const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket)
    {
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec)
            add(std::move(socket));
        accept();
    }

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

    boost::asio::io_context& m_io;
    HttpServerContext m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<HttpServerSession>> m_sessions;
    std::uint64_t m_lastId = 0;
};

HttpServer::HttpServer(
    boost::asio::io_context& io, HttpHandler& handler, std::shared_ptr<const Clock> clock, std::shared_ptr<HttpServerCounters> counters, HttpLimits limits)
    : m_impl(std::make_shared<Impl>(io, handler, std::move(clock), std::move(counters), limits))
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

void HttpServer::stopListening()
{
    m_impl->stopListening();
}

void HttpServer::close()
{
    m_impl->close();
}

}
