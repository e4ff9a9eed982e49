#include "load/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace lycheefield {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t maxAnswerBytes = std::uint64_t(64) << 20;
constexpr unsigned httpVersion = 11;

class HttpCallerConnection final : public CallerConnection {
public:
    HttpCallerConnection(asio::io_context& io, const Endpoint& endpoint, Duration timeout)
        : m_stream(io)
        , m_endpoint(endpoint)
        , m_timeout(timeout)
    {
    }

    void post(const std::string& path, const Headers& headers, const std::string& body, Handler handler) override
    {
        m_handler = std::move(handler);
        m_request = {};
        m_request.method(http::verb::post);
        m_request.target(path);
        m_request.version(httpVersion);
        m_request.set(http::field::host, m_endpoint.toString());
        for (const auto& [name, value] : headers)
            m_request.set(name, value);
        m_request.body() = body;
        m_request.prepare_payload();
        m_stream.expires_after(m_timeout);
        if (m_isConnected)
            return write();
        connect();
    }

    bool isUsable() const override { return m_isUsable; }

private:
    std::shared_ptr<HttpCallerConnection> self() { return std::static_pointer_cast<HttpCallerConnection>(shared_from_this()); }

    void connect()
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_endpoint.address), m_endpoint.port);
        m_stream.async_connect(endpoint, [self = self()](beast::error_code ec) {
            if (ec)
                return self->fail();
            self->m_isConnected = true;
            self->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
            self->write();
        });
    }

    void write()
    {
        http::async_write(m_stream, m_request, [self = self()](beast::error_code ec, std::size_t) {
            if (ec)
                return self->fail();
            self->read();
        });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxAnswerBytes);
        http::async_read(m_stream, m_buffer, *m_parser, [self = self()](beast::error_code ec, std::size_t) {
            if (ec)
                return self->fail();
            self->finish();
        });
    }

    void finish()
    {
        const auto& response = m_parser->get();
        m_isUsable = response.keep_alive();
        const auto id = response["X-Request-Id"];
        deliver({ true, response.result_int(), response.body(), { id.data(), id.size() } });
    }

    void fail()
    {
        m_isUsable = false;
        deliver({});
    }

    void deliver(const Answer& answer)
    {
        const auto handler = std::move(m_handler);
        m_handler = nullptr;
        handler(answer);
    }

    beast::tcp_stream m_stream;
    Endpoint m_endpoint;
    Duration m_timeout;
    bool m_isConnected = false;
    bool m_isUsable = true;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Handler m_handler;
};

}

std::shared_ptr<CallerConnection> CallerConnection::create(asio::io_context& io, const Endpoint& endpoint, Duration timeout)
{
    return std::make_shared<HttpCallerConnection>(io, endpoint, timeout);
}

}
