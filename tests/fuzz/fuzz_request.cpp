// Sends arbitrary bytes in two pieces to a session of the HTTP server. The session must answer within its
// limits or reject the bytes and count the rejection, must end when the caller disconnects, and must not block
// another session. The first input byte chooses where the bytes are split. Sessions run over socket pairs on
// one thread.

#include "base/request_id.h"
#include "http/http_server_session.h"
#include "observe/span.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

using namespace lycheefield;

namespace {

HttpLimits limits()
{
    HttpLimits limits;
    limits.maxHeaderBytes = 512;
    limits.maxBodyBytes = 256;
    limits.maxPipelinedBytes = 1024;
    limits.checkInterval = std::chrono::hours(1); // Longer than any input takes.
    return limits;
}

void check(bool holds)
{
    if (!holds)
        std::abort();
}

/// Responds at once, after parsing the same parts of a request as the caller API.
class ReadingHandler final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        check(request.body.size() <= limits().maxBodyBytes);
        check(request.path().size() <= request.target.size());
        TraceParent::parse(std::string(request.headers.find("traceparent")));
        const auto path = request.path();
        if (const auto id = RequestId::parse(path.substr(path.rfind('/') + 1)))
            check(RequestId::parse(id->toString()) == id);
        exchange->respond({ 200, "text/plain", "handled " + request.target });
    }
};

/// State shared by all sessions.
struct Server {
    boost::asio::io_context io;
    ReadingHandler handler;
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    int ended = 0;

    HttpServerContext context()
    {
        return { handler, std::make_shared<SteadyClock>(), counters, std::make_shared<Snapshot<HttpLimits>>(limits()), std::make_shared<std::atomic<bool>>(false), [this](std::uint64_t) { ++ended; } };
    }
    void settle()
    {
        io.restart();
        while (io.poll() > 0) { }
    }
    std::uint64_t turnedAway() const { return counters->malformed + counters->oversized; }
};

/// A caller connected to a session of its own.
class Caller {
public:
    explicit Caller(Server& server)
    {
        std::array<int, 2> ends {};
        check(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()) == 0);
        m_end = ends[0];
        boost::asio::ip::tcp::socket socket(boost::asio::make_strand(server.io));
        socket.assign(boost::asio::ip::tcp::v4(), ends[1]);
        std::make_shared<HttpServerSession>(0, std::move(socket), server.context())->start();
    }
    ~Caller() { ::close(m_end); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(std::string_view bytes) { [[maybe_unused]] const auto sent = ::send(m_end, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void goAway() { ::shutdown(m_end, SHUT_WR); }
    std::string received()
    {
        std::array<char, 4096> part {};
        for (auto n = ::recv(m_end, part.data(), part.size(), 0); n > 0; n = ::recv(m_end, part.data(), part.size(), 0))
            m_received.append(part.data(), static_cast<std::size_t>(n));
        return m_received;
    }

private:
    int m_end = -1;
    std::string m_received;
};

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const std::size_t split = data[0] % bytes.size();
    Server server;
    Caller bystander(server);
    Caller caller(server);
    bystander.send("GET /bystander HTTP/1.1\r\n");
    caller.send(bytes.substr(0, split));
    server.settle();
    caller.send(bytes.substr(split));
    server.settle();
    bystander.send("Host: a\r\n\r\n");
    server.settle();
    check(bystander.received().find("handled /bystander") != std::string::npos);

    const auto received = caller.received();
    check(received.empty() || received.starts_with("HTTP/1.1 "));
    check((received.find("HTTP/1.1 4") != std::string::npos) == (server.turnedAway() == 1));
    check(received.find("HTTP/1.1 5") == std::string::npos);
    caller.goAway();
    bystander.goAway();
    server.settle();
    check(server.ended == 2);
    return 0;
}
