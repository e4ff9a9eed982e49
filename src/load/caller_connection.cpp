#include "load/caller_connection.h"

#include "base/local_resources.h"
#include "http/http_response_reader.h"

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
constexpr std::size_t readBytes = 16ULL * 1024;
constexpr unsigned httpVersion = 11;

HttpLimits answerLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxAnswerBytes;
    return limits;
}

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

    bool isUsable() const override
    {
        // Bytes after an answer belong to no request, and must not be taken for the next answer.
        beast::error_code ec;
        return m_isUsable && m_buffer.size() == 0 && m_stream.socket().available(ec) == 0;
    }

private:
    std::shared_ptr<HttpCallerConnection> self() { return std::static_pointer_cast<HttpCallerConnection>(shared_from_this()); }

    void connect()
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_endpoint.address), m_endpoint.port);
        m_stream.async_connect(endpoint, [self = self()](beast::error_code ec) {
            if (ec)
                return self->fail(isLackOfResources(ec));
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
        m_charge.emplace(BufferLimit::ofProcess(), "answers", [weak = weak_from_this(), executor = m_stream.get_executor()] {
            asio::post(executor, [weak] {
                const auto self = std::static_pointer_cast<HttpCallerConnection>(weak.lock());
                if (self && self->m_charge && self->m_charge->isEvicted())
                    self->m_stream.close();
            });
        });
        m_reader.emplace(answerLimits());
        readMore();
    }

    void readMore()
    {
        m_stream.async_read_some(m_buffer.prepare(readBytes), [self = self()](beast::error_code ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(beast::error_code ec, std::size_t n)
    {
        m_buffer.commit(n);
        const bool isEnd = ec == asio::error::eof;
        if (ec && !isEnd)
            return fail();
        switch (isEnd ? m_reader->takeEnd() : m_reader->take(m_buffer)) {
        case HttpResponseReader::State::NeedsMore:
            m_charge->set(m_reader->heldBytes() + m_buffer.size());
            return readMore();
        case HttpResponseReader::State::Malformed:
            return fail();
        case HttpResponseReader::State::Done:
            break;
        }
        m_isUsable = !isEnd && m_reader->keepAlive();
        auto response = m_reader->release();
        deliver({ true, response.status, std::move(response.body), std::string(response.headers.find("X-Request-Id")) });
    }

    void fail(bool wasNotSent = false)
    {
        m_isUsable = false;
        Answer answer;
        answer.wasNotSent = wasNotSent;
        deliver(answer);
    }

    void deliver(const Answer& answer)
    {
        m_charge.reset();
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
    std::optional<BufferCharge> m_charge; ///< For the answer to the request in flight.
    std::optional<HttpResponseReader> m_reader; ///< Of the answer to the request in flight.
    Handler m_handler;
};

}

std::shared_ptr<CallerConnection> CallerConnection::create(asio::io_context& io, const Endpoint& endpoint, Duration timeout)
{
    return std::make_shared<HttpCallerConnection>(io, endpoint, timeout);
}

}
