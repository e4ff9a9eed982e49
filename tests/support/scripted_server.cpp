#include "support/scripted_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace lycheefield {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct ScriptedServer::Shared {
    ServerScript script;
    std::size_t connections = 0;
    std::size_t requests = 0;
    std::size_t closedByPeer = 0;
    std::size_t bytesSent = 0;
};

class ScriptedServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_socket(std::move(socket))
        , m_shared(std::move(shared))
    {
    }

    void readRequest()
    {
        boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n", [self = shared_from_this()](const error_code& ec, std::size_t n) {
            if (ec) {
                ++self->m_shared->closedByPeer;
                return;
            }
            self->m_received.erase(0, n);
            ++self->m_shared->requests;
            self->write(self->m_shared->script.response);
        });
    }

private:
    void write(const std::string& bytes)
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes), [self = shared_from_this()](const error_code& ec, std::size_t n) {
            self->m_shared->bytesSent += n;
            self->onWritten(ec);
        });
    }

    void onWritten(const error_code& ec)
    {
        error_code ignored;
        if (ec)
            ++m_shared->closedByPeer;
        else if (m_shared->script.closes)
            m_socket.close(ignored);
        else if (!m_shared->script.filler.empty())
            write(m_shared->script.filler);
        else
            readRequest();
    }

    tcp::socket m_socket;
    std::shared_ptr<Shared> m_shared;
    std::string m_received;
};

ScriptedServer::ScriptedServer(boost::asio::io_context& io, ServerScript script)
    : m_acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
    , m_shared(std::make_shared<Shared>())
{
    m_shared->script = std::move(script);
    accept();
}

ScriptedServer::~ScriptedServer() = default;

void ScriptedServer::accept()
{
    m_acceptor.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec)
            return;
        ++m_shared->connections;
        std::make_shared<Session>(std::move(socket), m_shared)->readRequest();
        accept();
    });
}

Endpoint ScriptedServer::endpoint() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

std::size_t ScriptedServer::connections() const
{
    return m_shared->connections;
}

std::size_t ScriptedServer::requests() const
{
    return m_shared->requests;
}

std::size_t ScriptedServer::closedByPeer() const
{
    return m_shared->closedByPeer;
}

std::size_t ScriptedServer::bytesSent() const
{
    return m_shared->bytesSent;
}

}
