#include "wire/gateway_handshake.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

namespace lycheefield {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxResponseBytes = 4096;

/// Reads the response byte by byte, because the bytes after its empty line belong to the peer's protocol.
class Handshake : public std::enable_shared_from_this<Handshake> {
public:
    using Handler = std::function<void(const boost::system::error_code&)>;

    Handshake(asio::ip::tcp::socket& socket, const Endpoint& peer, Handler handler)
        : m_socket(socket)
        , m_request("CONNECT " + peer.toString() + " HTTP/1.1\r\nHost: " + peer.toString() + "\r\n\r\n")
        , m_handler(std::move(handler))
    {
    }

    void start()
    {
        asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
            if (ec)
                return self->m_handler(ec);
            self->readByte();
        });
    }

private:
    void readByte()
    {
        asio::async_read(m_socket, asio::buffer(&m_byte, 1), [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
            if (ec)
                return self->m_handler(ec);
            self->m_response += self->m_byte;
            self->onByte();
        });
    }

    void onByte()
    {
        if (m_response.ends_with("\r\n\r\n"))
            return m_handler(resultCode());
        if (m_response.size() >= maxResponseBytes)
            return m_handler(asio::error::message_size);
        readByte();
    }

    boost::system::error_code resultCode() const
    {
        const bool isAccepted = m_response.starts_with("HTTP/1.1 200") || m_response.starts_with("HTTP/1.0 200");
        return isAccepted ? boost::system::error_code() : boost::system::error_code(asio::error::connection_refused);
    }

    asio::ip::tcp::socket& m_socket;
    std::string m_request;
    std::string m_response;
    char m_byte = 0;
    Handler m_handler;
};

}

void openGatewayTunnel(asio::ip::tcp::socket& socket, const Endpoint& peer, std::function<void(const boost::system::error_code&)> handler)
{
    std::make_shared<Handshake>(socket, peer, std::move(handler))->start();
}

}
