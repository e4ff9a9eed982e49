#include "standin/link_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <array>
#include <optional>

namespace lycheefield::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t chunkBytes = 64 * 1024;
/// Interval at which a pump checks whether a cut has ended.
constexpr Duration cutCheckPeriod { 5000 };

std::optional<tcp::endpoint> endpointOf(const std::string& authority)
{
    const auto colon = authority.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(authority.substr(0, colon), ec);
    if (ec)
        return std::nullopt;
    return tcp::endpoint(address, static_cast<std::uint16_t>(std::stoul(authority.substr(colon + 1))));
}

/// Reads from one socket and writes the bytes to the other after the delay.
class Pump : public std::enable_shared_from_this<Pump> {
public:
    Pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, std::shared_ptr<LinkServer> server, bool isOutward)
        : m_from(std::move(from))
        , m_to(std::move(to))
        , m_server(std::move(server))
        , m_isOutward(isOutward)
        , m_line(m_server->nextSeed())
        , m_timer(m_from->get_executor())
    {
    }

    void start(const std::string& first)
    {
        if (!first.empty())
            push(first);
        read();
    }

private:
    const LinkBehaviour& behaviour() const { return m_isOutward ? m_server->outward() : m_server->backward(); }

    void read()
    {
        m_from->async_read_some(asio::buffer(m_chunk), [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
            if (ec)
                return self->close();
            self->push(std::string(self->m_chunk.data(), n));
            self->read();
        });
    }

    void push(std::string bytes)
    {
        m_line.push(std::move(bytes), behaviour(), m_server->now());
        if (!m_isWriting)
            waitForArrival();
    }

    void waitForArrival()
    {
        const auto arrival = m_line.nextArrival();
        if (arrival == never)
            return;
        auto wait = arrival - m_server->now();
        if (behaviour().isCut)
            wait = std::max(wait, cutCheckPeriod);
        m_timer.expires_after(wait);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec)
                self->write();
        });
    }

    void write()
    {
        m_out = m_line.take(behaviour(), m_server->now());
        if (m_out.empty())
            return waitForArrival();
        m_isWriting = true;
        asio::async_write(*m_to, asio::buffer(m_out), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            self->m_isWriting = false;
            if (ec)
                return self->close();
            self->waitForArrival();
        });
    }

    void close()
    {
        boost::system::error_code ec;
        m_from->close(ec);
        m_to->close(ec);
        m_timer.cancel();
    }

    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    std::shared_ptr<LinkServer> m_server;
    bool m_isOutward;
    DelayLine m_line;
    asio::steady_timer m_timer;
    std::array<char, chunkBytes> m_chunk {};
    std::string m_out;
    bool m_isWriting = false;
};

/// Reads the CONNECT request, connects to its target and starts a pump for each direction.
class TunnelSetup : public std::enable_shared_from_this<TunnelSetup> {
public:
    TunnelSetup(tcp::socket socket, std::shared_ptr<LinkServer> server)
        : m_client(std::make_shared<tcp::socket>(std::move(socket)))
        , m_upstream(std::make_shared<tcp::socket>(m_client->get_executor()))
        , m_server(std::move(server))
    {
    }

    void start()
    {
        m_parser.skip(true);
        http::async_read_header(*m_client, m_buffer, m_parser, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (!ec)
                self->onRequest();
        });
    }

private:
    void onRequest()
    {
        const std::string target(m_parser.get().target());
        if (m_parser.get().method() != http::verb::connect) {
            m_server->applySettings(target);
            return respond(http::status::ok, false);
        }
        const auto endpoint = endpointOf(target);
        if (!endpoint)
            return respond(http::status::bad_request, false);
        m_upstream->async_connect(*endpoint, [self = shared_from_this()](boost::system::error_code ec) {
            if (ec)
                return self->respond(http::status::bad_gateway, false);
            boost::system::error_code ignored;
            self->m_client->set_option(tcp::no_delay(true), ignored);
            self->m_upstream->set_option(tcp::no_delay(true), ignored);
            self->respond(http::status::ok, true);
        });
    }

    void respond(http::status status, bool pump)
    {
        m_response.result(status);
        m_response.version(11);
        if (!pump)
            m_response.content_length(0);
        http::async_write(*m_client, m_response, [self = shared_from_this(), pump](boost::system::error_code ec, std::size_t) {
            if (!ec && pump)
                self->startPumps();
        });
    }

    void startPumps()
    {
        const auto early = boost::beast::buffers_to_string(m_buffer.data());
        std::make_shared<Pump>(m_client, m_upstream, m_server, true)->start(early);
        std::make_shared<Pump>(m_upstream, m_client, m_server, false)->start({});
    }

    std::shared_ptr<tcp::socket> m_client;
    std::shared_ptr<tcp::socket> m_upstream;
    std::shared_ptr<LinkServer> m_server;
    boost::beast::flat_buffer m_buffer;
    http::request_parser<http::empty_body> m_parser;
    http::response<http::empty_body> m_response;
};

}

LinkServer::LinkServer(asio::io_context& io, LinkBehaviour behaviour, std::uint64_t seed, const Clock& clock)
    : m_io(io)
    , m_acceptor(io)
    , m_outward(behaviour)
    , m_backward(behaviour)
    , m_seed(seed)
    , m_clock(clock)
{
}

void LinkServer::listen(const std::string& address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), 0);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

std::uint16_t LinkServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void LinkServer::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        std::make_shared<TunnelSetup>(std::move(socket), self)->start();
        self->accept();
    });
}

void LinkServer::applySettings(const std::string& target)
{
    const auto view = boost::urls::parse_origin_form(target);
    if (!view)
        return;
    for (const auto it : view->params()) {
        if (it.key == "delay-us")
            m_outward.delay = m_backward.delay = Duration(std::stoll(it.value));
        if (it.key == "retransmit")
            m_outward.retransmitProbability = m_backward.retransmitProbability = std::stod(it.value);
        if (it.key == "retransmit-us")
            m_outward.retransmitTime = m_backward.retransmitTime = Duration(std::stoll(it.value));
        if (it.key == "cut-out")
            m_outward.isCut = it.value == "1";
        if (it.key == "cut-back")
            m_backward.isCut = it.value == "1";
    }
}

}
