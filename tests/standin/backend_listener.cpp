#include "standin/backend_listener.h"

#include "standin/backend_session.h"

namespace lycheefield::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

BackendListener::BackendListener(asio::io_context& io, std::shared_ptr<BackendServer> server, Limits limits, const Clock& clock)
    : m_io(io)
    , m_acceptor(io)
    , m_timer(io)
    , m_server(std::move(server))
    , m_limits(limits)
    , m_clock(clock)
{
}

void BackendListener::listen(const std::string& address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), 0);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

std::uint16_t BackendListener::port() const
{
    return m_acceptor.local_endpoint().port();
}

void BackendListener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        self->onAccepted(std::move(socket));
        self->accept();
    });
}

void BackendListener::onAccepted(tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (m_sessions.size() >= m_limits.connectionCap || m_server->isDown(now())) {
        ++m_refusedConnections;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        return;
    }
    const auto id = m_nextConnection++;
    const auto session = std::make_shared<BackendSession>(std::move(socket), shared_from_this(), id);
    m_sessions.emplace(id, session);
    m_peakConnections = std::max(m_peakConnections, static_cast<std::uint32_t>(m_sessions.size()));
    session->start(m_limits.connectCost);
}

void BackendListener::remove(std::uint64_t connection)
{
    if (!m_sessions.erase(connection))
        return;
    m_server->dropConnection(connection, now());
    armTimer();
}

void BackendListener::deliver(std::vector<BackendResponse>& responses)
{
    for (const auto& it : responses) {
        const auto session = m_sessions.find(it.connection);
        if (session == m_sessions.end())
            continue;
        if (const auto alive = session->second.lock())
            alive->send(it);
    }
    responses.clear();
    if (m_server->isDown(now())) {
        const auto sessions = m_sessions;
        for (const auto& [id, session] : sessions) {
            if (const auto alive = session.lock())
                alive->abort();
        }
    }
    armTimer();
}

void BackendListener::armTimer()
{
    const auto wake = m_server->nextWake();
    if (wake == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(wake - now());
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec)
            return;
        std::vector<BackendResponse> responses;
        self->m_server->advance(self->now(), responses);
        self->deliver(responses);
    });
}

}
