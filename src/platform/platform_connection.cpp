#include "platform/platform_connection.h"

#include "base/endpoint.h"
#include "base/local_resources.h"
#include "http/http_response_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace lycheefield {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::size_t readBytes = 16ULL * 1024;

http::verb verbOf(PlatformMethod method)
{
    switch (method) {
    case PlatformMethod::Get:
        return http::verb::get;
    case PlatformMethod::Put:
        return http::verb::put;
    case PlatformMethod::Delete:
        return http::verb::delete_;
    case PlatformMethod::Post:
        break;
    }
    return http::verb::post;
}

class BeastConnection final : public PlatformConnection, public std::enable_shared_from_this<BeastConnection> {
public:
    BeastConnection(const asio::any_io_executor& executor, ByteCount maxResponse, std::string epochHeader)
        : m_stream(executor)
        , m_epochHeader(std::move(epochHeader))
    {
        m_limits.maxBodyBytes = maxResponse.value;
    }

    void connect(const Endpoint& endpoint, Duration timeout, ConnectHandler handler) override
    {
        error_code ec;
        const auto address = asio::ip::make_address(endpoint.address, ec);
        if (ec) {
            m_failure = ec.message();
            asio::post(m_stream.get_executor(), [handler = std::move(handler)] { handler(false); });
            return;
        }
        m_host = endpoint.toString();
        m_stream.expires_after(timeout);
        m_stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port),
            [self = shared_from_this(), handler = std::move(handler)](error_code ec) {
                self->onConnected(ec);
                handler(!ec);
            });
    }

    void exchange(const HttpExchange& exchange, Duration timeout, ExchangeHandler handler) override
    {
        m_handler = std::move(handler);
        m_result = {};
        m_request = {};
        m_request.version(httpVersion);
        m_request.method(verbOf(exchange.method));
        m_request.target(exchange.target);
        m_request.set(http::field::host, m_host);
        m_request.body() = exchange.body;
        m_request.prepare_payload();
        m_stream.expires_after(timeout);
        http::async_write(m_stream, m_request, [self = shared_from_this()](error_code ec, std::size_t sent) { self->onWritten(ec, sent); });
    }

    const std::string& failure() const override { return m_failure; }

    bool lackedResources() const override { return m_lackedResources; }

    bool isOpen() const override { return m_isOpen && isIdle(); }

    void close() override
    {
        m_isOpen = false;
        m_stream.close();
    }

private:
    static constexpr unsigned int httpVersion = 11;

    void onConnected(error_code ec)
    {
        m_isOpen = !ec;
        m_lackedResources = isLackOfResources(ec);
        if (ec) {
            m_failure = "connect: " + ec.message();
            return;
        }
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        // isIdle() reads without waiting.
        m_stream.socket().non_blocking(true, ec);
    }

    void onWritten(error_code ec, std::size_t sent)
    {
        m_result.bytesSent = sent;
        m_result.wasSent = sent > 0;
        if (ec)
            return fail("write: " + ec.message());
        startCharging();
        m_reader.emplace(m_limits);
        readMore();
    }

    /// Counts the response that follows among the buffers of all connections, which may end this one for it.
    void startCharging()
    {
        m_charge.emplace(m_limits.buffers, "store", [weak = weak_from_this(), executor = m_stream.get_executor()] {
            asio::post(executor, [weak] {
                const auto self = weak.lock();
                // By now the response may be complete, and the next exchange be in flight.
                if (self && self->m_charge && self->m_charge->isEvicted())
                    self->close();
            });
        });
    }

    /// Whether the store has neither ended the connection nor sent bytes that belong to no call. The next call would be lost, or take the
    /// bytes for its response.
    bool isIdle() const
    {
        char byte = 0;
        error_code ec;
        m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        return m_buf.size() == 0 && ec == asio::error::would_block;
    }

    void readMore()
    {
        m_stream.async_read_some(m_buf.prepare(readBytes), [self = shared_from_this()](error_code ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(error_code ec, std::size_t n)
    {
        m_buf.commit(n);
        m_result.bytesReceived += n;
        const bool isEnd = ec == asio::error::eof;
        if (ec && !isEnd)
            return fail("read: " + ec.message());
        switch (isEnd ? m_reader->takeEnd() : m_reader->take(m_buf)) {
        case HttpResponseReader::State::NeedsMore:
            m_charge->set(m_reader->heldBytes() + m_buf.size());
            return readMore();
        case HttpResponseReader::State::Malformed:
            return fail("malformed response: " + m_reader->reason());
        case HttpResponseReader::State::Done:
            break;
        }
        m_isOpen = m_isOpen && !isEnd && m_reader->keepAlive();
        m_stream.expires_never();
        auto response = m_reader->release();
        m_result.hasResponse = true;
        m_result.status = response.status;
        m_result.date = std::string(response.headers.find("Date"));
        if (!m_epochHeader.empty())
            m_result.epoch = std::string(response.headers.find(m_epochHeader));
        m_result.body = std::move(response.body);
        finish();
    }

    void fail(std::string why)
    {
        m_failure = std::move(why);
        close();
        finish();
    }

    void finish()
    {
        m_reader.reset();
        m_charge.reset();
        std::exchange(m_handler, nullptr)(std::move(m_result));
    }

    mutable beast::tcp_stream m_stream; ///< Mutable because isIdle() peeks, which takes no bytes.
    std::string m_epochHeader;
    HttpLimits m_limits;
    beast::flat_buffer m_buf;
    std::string m_host;
    std::string m_failure;
    bool m_isOpen = false;
    bool m_lackedResources = false;
    http::request<http::string_body> m_request;
    std::optional<BufferCharge> m_charge; ///< For the response to the exchange in flight.
    std::optional<HttpResponseReader> m_reader; ///< Of the response to the exchange in flight.
    HttpExchangeResult m_result;
    ExchangeHandler m_handler;
};

}

std::shared_ptr<PlatformConnection> makePlatformConnection(const asio::any_io_executor& executor, ByteCount maxResponse, const std::string& epochHeader)
{
    return std::make_shared<BeastConnection>(executor, maxResponse, epochHeader);
}

}
