#include "http/http_client_connection.h"

#include "base/local_resources.h"
#include "http/http_response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace lycheefield {

namespace {

constexpr std::size_t readBytes = 4 * 1024;
/// The memory for requests that a connection keeps for its next one.
constexpr std::size_t keptRequestBytes = 16 * 1024;

std::string formatRequest(const HttpRequest& request, const std::string& host)
{
    std::string out;
    out.reserve(request.body.size() + 512);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (request.headers.find("Host").empty())
        out.append("Host: ").append(host).append("\r\n");
    for (const auto& [name, value] : request.headers.fields())
        out.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || request.method != "GET")
        out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    out.append("\r\n").append(request.body);
    return out;
}

class BeastClientConnection final : public HttpClientConnection, public std::enable_shared_from_this<BeastClientConnection> {
public:
    BeastClientConnection(const boost::asio::any_io_executor& executor, const Endpoint& endpoint, std::weak_ptr<HttpClientEvents> events, HttpLimits limits)
        : m_socket(executor)
        , m_timer(executor)
        , m_host(endpoint.toString())
        , m_events(std::move(events))
        , m_limits(std::move(limits))
    {
    }

    void connect(const Endpoint& endpoint, Duration timeout, const std::string& owner)
    {
        m_charge.emplace(m_limits.buffers, owner.empty() ? m_host : owner, [weak = weak_from_this(), executor = m_socket.get_executor()] {
            boost::asio::post(executor, [weak] {
                if (const auto self = weak.lock())
                    self->fail("the buffers of all connections together are full");
            });
        });
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(endpoint.address, ec);
        if (ec) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail("the server's address is not an IP address"); });
            return;
        }
        m_socket.async_connect({ address, endpoint.port }, [self = shared_from_this()](const boost::system::error_code& ec) { self->onConnected(ec); });
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (!ec)
                self->fail("connecting to the server timed out");
        });
    }

    void send(const HttpRequest& request) override
    {
        if (m_closed) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                if (const auto events = self->m_events.lock())
                    events->onLost(false, "the connection was closed before the request was sent");
            });
            return;
        }
        if (m_closing)
            return; // deliverResponse is about to call onLost.
        m_inFlight = true;
        m_outgoing = formatRequest(request, m_host);
        m_writing = true;
        m_reader.emplace(m_limits);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing), [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
            self->m_writing = false;
            self->releaseRequest();
            if (ec)
                self->fail(ec.message());
        });
    }

    void discardResponse() override
    {
        if (!m_inFlight || m_closed)
            return;
        m_reader->discardBody();
        chargeResponse();
    }

    void close() override
    {
        m_events.reset();
        fail({});
    }

    bool wasRejected() const override { return m_wasRejected; }

    bool lackedResources() const override { return m_lackedResources; }

private:
    void onConnected(const boost::system::error_code& ec)
    {
        m_timer.cancel();
        if (m_closed)
            return;
        if (ec) {
            m_wasRejected = ec == boost::asio::error::connection_refused || ec == boost::asio::error::connection_reset;
            m_lackedResources = isLackOfResources(ec);
            fail(ec.message());
            return;
        }
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        readMore();
        if (const auto events = m_events.lock())
            events->onConnected();
    }

    void readMore()
    {
        m_socket.async_read_some(m_buffer.prepare(readBytes),
            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(const boost::system::error_code& ec, std::size_t n)
    {
        if (m_closed)
            return;
        if (ec) {
            onReadError(ec);
            return;
        }
        m_buffer.commit(n);
        if (!m_inFlight) {
            fail("the server sent bytes while no request was in flight");
            return;
        }
        parseMore();
        if (m_closed)
            return;
        chargeResponse();
        readMore();
    }

    void chargeResponse() { m_charge->set(m_inFlight ? m_reader->heldBytes() + m_buffer.size() : 0); }

    void onReadError(const boost::system::error_code& ec)
    {
        if (m_inFlight && ec == boost::asio::error::eof && m_reader->takeEnd() == HttpResponseReader::State::Done)
            deliverResponse();
        if (!m_closed)
            fail(ec.message());
    }

    void parseMore()
    {
        switch (m_reader->take(m_buffer)) {
        case HttpResponseReader::State::NeedsMore:
            return;
        case HttpResponseReader::State::Malformed:
            return fail("the server's response is malformed: " + m_reader->reason());
        case HttpResponseReader::State::Done:
            break;
        }
        // Bytes after the response belong to no request and must not be parsed as the response to the next request.
        m_hasSurplusBytes = m_buffer.size() > 0;
        deliverResponse();
    }

    void deliverResponse()
    {
        m_inFlight = false;
        // If the response comes before the whole request is sent, the server may never read the rest of the request.
        m_closing = m_hasSurplusBytes || m_writing || !m_reader->keepAlive() || m_charge->isEvicted();
        auto response = m_reader->release();
        if (const auto events = m_events.lock())
            events->onResponse(std::move(response));
        if (m_closing)
            fail("the connection ends after this response");
    }

    void fail(const std::string& reason)
    {
        if (m_closed)
            return;
        m_closed = true;
        boost::system::error_code ec;
        m_timer.cancel();
        m_socket.close(ec);
        releaseBuffers();
        if (const auto events = m_events.lock())
            events->onLost(m_inFlight, reason);
    }

    /// Frees the request that has been written, unless it is small.
    void releaseRequest()
    {
        m_outgoing.clear();
        if (m_outgoing.capacity() > keptRequestBytes)
            m_outgoing.shrink_to_fit();
    }

    /// Frees what the connection holds at once, not only when its pending operations have ended.
    void releaseBuffers()
    {
        m_reader.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_charge->set(0);
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_host;
    std::weak_ptr<HttpClientEvents> m_events;
    HttpLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<BufferCharge> m_charge; ///< For the response to the request in flight.
    std::optional<HttpResponseReader> m_reader; ///< Of the response to the request in flight.
    std::string m_outgoing;
    bool m_inFlight = false;
    bool m_writing = false; ///< The write of the current request has not completed.
    bool m_hasSurplusBytes = false; ///< Bytes followed the last response.
    bool m_closing = false; ///< The connection closes once the current response is delivered.
    bool m_closed = false;
    bool m_wasRejected = false;
    bool m_lackedResources = false;
};

}

std::shared_ptr<HttpClientConnection> openHttpConnection(
    const boost::asio::any_io_executor& executor, const Endpoint& endpoint, std::weak_ptr<HttpClientEvents> events, Duration connectTimeout, HttpLimits limits, const std::string& owner)
{
    auto connection = std::make_shared<BeastClientConnection>(executor, endpoint, std::move(events), std::move(limits));
    connection->connect(endpoint, connectTimeout, owner);
    return connection;
}

}
