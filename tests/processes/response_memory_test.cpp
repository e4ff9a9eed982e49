#include "program_fixture.h"

#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <numeric>

namespace lycheefield {

namespace {

constexpr std::size_t faultyRoutes = 10;
constexpr std::size_t callersPerRoute = 12;
constexpr std::uint64_t kibibyte = 1024;
/// Half of the memory of the users' smallest machine, in KiB.
constexpr std::uint64_t maxPeakKib = 130 * kibibyte;
constexpr double minSoundShare = 0.99;
constexpr std::size_t minSoundRequests = 200;

/// Sends one request after the other on a connection, until it is told to stop.
class SteadyCaller final : public HttpClientEvents, public std::enable_shared_from_this<SteadyCaller> {
public:
    void open(boost::asio::io_context& io, const Endpoint& endpoint) { m_connection = openHttpConnection(boost::asio::make_strand(io), endpoint, weak_from_this(), 5s); }
    void onConnected() override { sendNext(); }
    void onResponse(HttpResponse response) override
    {
        served += response.status == 200 ? 1 : 0;
        sendNext();
    }
    void onLost(bool, const std::string&) override { }
    void stop() { m_connection->close(); }

    std::size_t sent = 0;
    std::size_t served = 0;

private:
    void sendNext()
    {
        ++sent;
        m_connection->send({ "GET", "/sound/1", { { "Host", "a.example" }, { "Lycheefield-Attempt-Id", "sound" }, { "Lycheefield-Deadline-Ms", "3000" } }, "" });
    }

    std::shared_ptr<HttpClientConnection> m_connection;
};

/// A caller that sends requests and reads an answer only when it is told to.
class SilentCaller {
public:
    SilentCaller(boost::asio::io_context& io, const Endpoint& endpoint)
        : m_socket(io)
    {
        m_socket.open(boost::asio::ip::tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    }

    void send(const std::string& path)
    {
        boost::asio::write(m_socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: id\r\nLycheefield-Deadline-Ms: 3000\r\n\r\n"));
    }
    /// Reads until so many bytes have arrived in all, or the connection has ended.
    void read(std::size_t bytes)
    {
        m_socket.async_read_some(boost::asio::buffer(m_chunk), [this, bytes](const boost::system::error_code& ec, std::size_t n) {
            received += n;
            if (!ec && received < bytes)
                read(bytes);
        });
    }

    std::size_t received = 0;

private:
    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 65536> m_chunk {};
};

/// A gateway process in front of routes whose servers all answer with one script, and of a sound route.
struct MemoryFixture : ProgramFixture {
    explicit MemoryFixture(const ServerScript& script)
        : sound(io, { "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 500000\r\n\r\n" + std::string(500000, 's') })
        , process(makeProcess("g1"))
    {
        std::string routes = route("sound");
        std::string services = R"({"name":"sound","maxConns":200})";
        addServer("sound", sound);
        for (std::size_t i = 0; i < faultyRoutes; ++i) {
            const auto name = "faulty" + std::to_string(i);
            routes += "," + route(name);
            services += R"(,{"name":")" + name + R"(","maxConns":200})";
            for (int server = 0; server < 2; ++server) {
                faulty.emplace_back(io, script);
                addServer(name, faulty.back());
            }
        }
        m_routes = routes;
        m_services = services;
        store.put("config", "main", R"({"version":2,"routes":[)" + m_routes + R"(],"services":[)" + m_services + "]}");
        process.start();
        REQUIRE(becomesReady(process));
    }

    static std::string route(const std::string& service)
    {
        return R"({"name":")" + service + R"(","host":"a.example","pathPrefix":"/)" + service + R"(/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":")" + service + R"(","attempts":2})";
    }

    /// Adds a route that searches the faulty services and a service "silent", and waits until the gateway knows it.
    void addSearch()
    {
        std::string shards = R"("silent")";
        for (std::size_t i = 0; i < faultyRoutes; ++i)
            shards += R"(,"faulty)" + std::to_string(i) + "\"";
        const auto search = R"({"name":"search","host":"a.example","pathPrefix":"/search/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":2500,"priority":1,"gather":[)" + shards + R"(],"topK":50,"minShardRatio":1,"attempts":1})";
        store.put("config", "main", R"({"version":3,"routes":[)" + m_routes + "," + search + R"(],"services":[)" + m_services + R"(,{"name":"silent","maxConns":200}]})");
        REQUIRE(waitUntil([&] { return process.log().find(R"("event":"configuration applied","version":"3")") != std::string::npos; }));
    }

    void addServer(const std::string& service, const ScriptedServer& server)
    {
        const auto name = "i-" + std::to_string(++m_servers);
        store.put("servers", name, R"({"service":")" + service + R"(","address":")" + server.endpoint().toString() + R"(","zone":"a","version":"v1","slots":100,"state":"ready","warmupLeftMs":0,"sequence":1})");
    }

    /// Sends waves of requests to faulty servers, all of a wave at once, while other callers use the sound route, until these have
    /// sent enough.
    void run()
    {
        for (auto& it : steady) {
            it = std::make_shared<SteadyCaller>();
            it->open(io, process.callers());
        }
        do
            runWave();
        while (soundRequests() < minSoundRequests);
        for (auto& it : steady)
            it->stop();
    }

    void runWave()
    {
        for (std::size_t i = 0; i < faultyRoutes * callersPerRoute; ++i) {
            callers.emplace_back(io, process.callers());
            callers.back().send("GET /faulty" + std::to_string(i % faultyRoutes) + "/1 HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: id" + std::to_string(i)
                + "\r\nLycheefield-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
        }
        REQUIRE(waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& it) { return it.isClosed(); }); }));
    }

    /// The requests of the sound route, without the last of each caller, which may not be answered yet.
    std::size_t soundRequests() const
    {
        return std::accumulate(steady.begin(), steady.end(), std::size_t(0), [](std::size_t n, const auto& it) { return n + std::max<std::size_t>(it->sent, 1) - 1; });
    }

    /// The greatest resident memory of the process so far.
    std::uint64_t peakKib() const { return statusOf("VmHWM:"); }
    /// The resident memory of the process now.
    std::uint64_t residentKib() const { return statusOf("VmRSS:"); }
    std::uint64_t statusOf(std::string_view name) const
    {
        std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name))
                return std::stoull(line.substr(name.size()));
        }
        return 0;
    }

    /// The number of requests that the log says were answered.
    std::size_t answered() const
    {
        const auto log = process.log();
        std::size_t n = 0;
        for (auto at = log.find("\"event\":\"answered\""); at != std::string::npos; at = log.find("\"event\":\"answered\"", at + 1))
            ++n;
        return n;
    }

    void checkSoundCallers()
    {
        const auto sent = soundRequests();
        const auto served = std::accumulate(steady.begin(), steady.end(), std::size_t(0), [](std::size_t n, const auto& it) { return n + it->served; });
        MESSAGE("answers of the sound route: ", served, " of ", sent);
        CHECK(static_cast<double>(served) >= minSoundShare * static_cast<double>(sent));
    }

    ScriptedServer sound;
    std::deque<ScriptedServer> faulty;
    GatewayProcess process;
    std::deque<RawCaller> callers;
    std::array<std::shared_ptr<SteadyCaller>, 4> steady;

private:
    int m_servers = 0;
    std::string m_routes; ///< Those of single services, in JSON.
    std::string m_services;
};

}

// Guards against faulty servers that use up the memory of the machine, and with it end the requests of all callers.
TEST_CASE("Bodies without end, of many servers at once, keep a gateway under half of the smallest machine's memory" * doctest::test_suite("processes"))
{
    const std::string head = "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\n";
    const std::string bytes(64 * kibibyte, 'x');
    ServerScript script;
    SUBCASE("without a length") { script = { head + "\r\n", bytes }; }
    SUBCASE("in chunks") { script = { head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + bytes + "\r\n" }; }
    SUBCASE("that end just before the length which they announce") { script = { head + "Content-Length: 4000000\r\n\r\n" + std::string(3900000, 'x'), "" }; }
    MemoryFixture fixture(script);
    fixture.run();
    MESSAGE("peak of the resident memory, in KiB: ", fixture.peakKib());
    CHECK(fixture.peakKib() < maxPeakKib);
    // The log tells whose connections were ended.
    CHECK(fixture.waitUntil([&] { return fixture.process.log().find(R"("event":"connections ended; all together buffer too much","owner":"faulty)") != std::string::npos; }));
    CHECK(fixture.process.log().find(R"("owner":"sound")") == std::string::npos);
    for (const auto& it : fixture.callers)
        CHECK(it.received().starts_with("HTTP/1.1 50"));
    fixture.checkSoundCallers();
    CHECK_FALSE(fixture.process.takeExitStatus());
}

TEST_CASE("A length that no server reaches takes no memory and ends no connection" * doctest::test_suite("processes"))
{
    MemoryFixture fixture({ "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 8000000\r\n\r\nx" });
    fixture.run();
    MESSAGE("peak of the resident memory, in KiB: ", fixture.peakKib());
    CHECK(fixture.peakKib() < maxPeakKib);
    CHECK(fixture.process.log().find("all together buffer too much") == std::string::npos);
    fixture.checkSoundCallers();
}

TEST_CASE("Whole answers that are too many for the memory are delivered whole or not at all" * doctest::test_suite("processes"))
{
    const std::string answer = "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 4000000\r\n\r\n" + std::string(4000000, 'x');
    MemoryFixture fixture({ answer });
    fixture.run();
    MESSAGE("peak of the resident memory, in KiB: ", fixture.peakKib());
    CHECK(fixture.peakKib() < maxPeakKib);
    std::size_t served = 0;
    for (const auto& it : fixture.callers) {
        const bool isServed = it.received().starts_with("HTTP/1.1 200 ");
        served += isServed ? 1 : 0;
        CHECK((isServed ? it.received().size() > 4000000 : it.received().starts_with("HTTP/1.1 50")));
    }
    MESSAGE("answers delivered: ", served);
    CHECK(served > 0);
    fixture.checkSoundCallers();
}

TEST_CASE("Answers that wait for callers who do not read stay within the memory" * doctest::test_suite("processes"))
{
    constexpr std::size_t bodyBytes = 7000000;
    MemoryFixture fixture({ "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 7000000\r\n\r\n" + std::string(bodyBytes, 'x') });
    std::deque<SilentCaller> silent;
    const auto askNext = [&] {
        silent.emplace_back(fixture.io, fixture.process.callers());
        silent.back().send("/faulty" + std::to_string(silent.size() % faultyRoutes) + "/1");
        REQUIRE(fixture.waitUntil([&] { return fixture.answered() >= silent.size(); }));
    };

    SUBCASE("Those of the largest answers are disconnected, and others are served")
    {
        for (int i = 0; i < 60; ++i)
            askNext();
        CHECK(fixture.waitUntil([&] { return fixture.process.log().find(R"("event":"connections ended; all together buffer too much","owner":"callers")") != std::string::npos; }));
        fixture.run();
        CHECK(fixture.process.log().find(R"("owner":"sound")") == std::string::npos);
        fixture.checkSoundCallers();
    }
    SUBCASE("A caller that has read its answer and keeps the connection costs nothing more")
    {
        for (int i = 0; i < 60; ++i) {
            askNext();
            silent.back().read(bodyBytes + 1);
            REQUIRE(fixture.waitUntil([&] { return silent.back().received > bodyBytes; }));
        }
        CHECK(fixture.residentKib() < 32 * kibibyte);
    }
    MESSAGE("peak of the resident memory, in KiB: ", fixture.peakKib());
    CHECK(fixture.peakKib() < maxPeakKib);
    CHECK_FALSE(fixture.process.takeExitStatus());
}

// Guards against parts that wait, whole, for a shard that does not answer.
TEST_CASE("Large parts of searches that wait for another shard stay within the memory" * doctest::test_suite("processes"))
{
    constexpr std::size_t searches = 30;
    const std::string part(2000000, 'x');
    MemoryFixture fixture({ "HTTP/1.1 200 OK\r\nLycheefield-Response-Stamp: s\r\nContent-Length: 2000000\r\n\r\n" + part });
    ScriptedServer silent(fixture.io, {});
    fixture.addServer("silent", silent);
    fixture.addSearch();
    for (std::size_t i = 0; i < searches; ++i) {
        fixture.callers.emplace_back(fixture.io, fixture.process.callers());
        fixture.callers.back().send("GET /search/" + std::to_string(i) + " HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: search" + std::to_string(i) + "\r\nLycheefield-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
        // Time for the gateway to read the parts, so that few are being received at once.
        fixture.runFor(50ms);
    }
    REQUIRE(fixture.waitUntil([&] { return std::all_of(fixture.callers.begin(), fixture.callers.end(), [](const auto& it) { return it.isClosed(); }); }));
    MESSAGE("peak of the resident memory, in KiB: ", fixture.peakKib());
    CHECK(fixture.peakKib() < maxPeakKib);
    for (const auto& it : fixture.callers)
        CHECK(it.received().starts_with("HTTP/1.1 50"));
    CHECK_FALSE(fixture.process.takeExitStatus());
}

}
