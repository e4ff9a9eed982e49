#pragma once

#include "fleet_fixture.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// A caller of a route. It sends one request after the other, each with another target.
class BurstCaller final : public HttpClientEvents, public std::enable_shared_from_this<BurstCaller> {
public:
    BurstCaller(boost::asio::io_context&, Endpoint, std::string route);

    /// Sends a request on the route, unless one is not answered yet.
    void ask() { ask(m_route); }
    void ask(const std::string& route);
    bool isBusy() const { return m_isBusy; }
    void onConnected() override;
    void onResponse(HttpResponse) override;
    void onLost(bool, const std::string&) override;

    /// Of the last request; 0 when it was not answered.
    unsigned status = 0;
    /// Parts that the last answer lacked; empty when it told none.
    std::string missingParts;
    /// The answers so far.
    std::size_t answers = 0;

private:
    void send();

    boost::asio::io_context& m_io;
    Endpoint m_endpoint;
    std::string m_route;
    SteadyClock m_clock;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::string m_asked;
    bool m_isConnected = false;
    bool m_isBusy = false;
};

/// A gateway with few descriptors, callers whose searches want more connections to servers than these, and callers of other routes. A
/// search of the burst asks slow servers, others ask servers that answer at once.
class BurstFixture : public ProgramFixture {
public:
    explicit BurstFixture(std::uint64_t maxDescriptors);

    /// Opens as many more connections of callers as the gateway takes with few descriptors.
    void fillCallers();
    /// The callers send their searches from now on, each the next one once the last one is answered. Returns once the gateway has
    /// had time to open connections and to use its last call to the store.
    void beginBurst(Duration answerTime);
    /// The callers send no more, and slow servers answer later requests at once. Returns once all searches are answered and no server
    /// works on one.
    void endBurst();
    void run(Duration);

    /// Publishes a configuration with a route more.
    void addRoute();
    /// One server of each service begins to drain, all at the same time.
    void drainServers();
    /// Goes on until the limit has passed and a second of later requests shows what is in force.
    void awaitLimit();
    /// Sends readiness checks for as long as the limit, and waits as long for the last answer.
    void checkReadiness();

    /// Whether no request on the newest route that was sent after the limit was answered 404.
    bool isRouteInForce() const;
    /// Requests that callers sent after the limit and that reached a draining server.
    std::size_t lateRequests() const;
    /// Readiness checks that were not answered with 200 within the limit.
    std::size_t failedChecks() const;
    /// The answer to a search sent now, of servers that have answered at once all the time: its status and the parts that it lacks.
    std::string searchQuickServers();
    /// The same of the slow servers.
    std::string searchSlowServers();
    /// The most descriptors that the gateway had open when callers sent.
    std::size_t mostDescriptors() const { return m_mostDescriptors; }
    /// What happened to the last change, and how often the gateway lacked a descriptor.
    std::string report() const;
    /// The lines of the gateway's log that tell of the store and of what is in force.
    std::string storeLines() const;

    /// Of the configuration and of the servers, as GatewayProcess sets it; from the store's acknowledgement. Readiness checks wait as long.
    static constexpr Duration limit = 3s;

private:
    struct ReadinessCheck {
        std::shared_ptr<ReadinessProbe> probe;
        TimePoint sentAt;
        bool isLate = false; ///< Not answered within the limit.
    };

    void addServer(const std::string& service, bool isSlow);
    void publish();
    std::string search(const std::string& route);
    void tick();
    std::vector<std::string> linesWith(const std::string& text) const;

    std::deque<CountingServer> m_slow;
    std::deque<CountingServer> m_quick;
    std::vector<CountingServer*> m_draining;
    std::string m_services;
    std::unique_ptr<GatewayProcess> m_process;
    std::vector<std::shared_ptr<BurstCaller>> m_callers;
    std::shared_ptr<BurstCaller> m_quickCaller;
    std::shared_ptr<RouteProbe> m_probe;
    std::vector<boost::asio::ip::tcp::socket> m_silentCallers;
    std::vector<ReadinessCheck> m_checks;
    std::uint64_t m_version = 0;
    TimePoint m_changedAt {};
    TimePoint m_routeAddedAt {};
    std::size_t m_mostDescriptors = 0;
    bool m_isBursting = false;
    bool m_checksReadiness = false;
};

}
