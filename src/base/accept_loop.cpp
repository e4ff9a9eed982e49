#include "base/accept_loop.h"

#include "base/listening_socket.h"
#include "base/time.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <utility>

namespace lycheefield {

namespace {

constexpr Duration pauseAfterError = std::chrono::milliseconds(50);

}

AcceptLoop::AcceptLoop(boost::asio::io_context& io)
    : m_io(io)
    , m_acceptor(boost::asio::make_strand(io))
    , m_pauseTimer(m_acceptor.get_executor())
{
}

Result<Endpoint> AcceptLoop::listen(const Endpoint& endpoint, const std::string& what, Handler handler)
{
    const auto local = listenOn(m_acceptor, endpoint, what);
    if (local)
        accept(std::make_shared<const Handler>(std::move(handler)));
    return local;
}

void AcceptLoop::close()
{
    boost::asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
        self->m_pauseTimer.cancel();
    });
}

void AcceptLoop::accept(const HandlerPtr& handler)
{
    m_acceptor.async_accept(boost::asio::make_strand(m_io), [self = shared_from_this(), handler](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (ec)
            return self->pause(handler);
        // The next accept is started first, so that a handler that throws does not end the loop.
        self->accept(handler);
        (*handler)(std::move(socket));
    });
}

void AcceptLoop::pause(const HandlerPtr& handler)
{
    m_pauseTimer.expires_after(pauseAfterError);
    m_pauseTimer.async_wait([self = shared_from_this(), handler](const boost::system::error_code& ec) {
        if (!ec && self->m_acceptor.is_open())
            self->accept(handler);
    });
}

}
