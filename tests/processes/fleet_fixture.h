#pragma once

#include "program_fixture.h"

#include "support/fault_link.h"

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace lycheefield {

/// A stand-in for a server that answers every request after the same time, at first at once, and notes when they were sent and arrived.
class CountingServer final : public HttpHandler {
public:
    CountingServer(boost::asio::io_context&, std::string name, std::string zone, std::string service = "x");

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    /// Sets the time from a request to its answer, for later requests.
    void setAnswerTime(Duration time) { m_answerTime = time; }
    /// Whether a request waits for its answer. One whose connection was closed does not.
    bool holdsRequests() const { return !m_held.empty(); }
    /// The next version of its entry in the store.
    std::string entry(bool isDraining);
    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }
    /// Requests, by gateway, that arrived later than that, whenever their callers sent them.
    std::map<std::string, std::size_t> requestsAfter(TimePoint) const;
    /// When the last request was sent, by gateway.
    std::map<std::string, TimePoint> lastSent() const;

private:
    struct ReceivedRequest {
        std::string gateway;
        TimePoint sentAt; ///< By the caller.
        TimePoint arrivedAt;
    };
    /// A request that waits for its answer.
    struct HeldRequest {
        std::shared_ptr<HttpExchange> exchange;
        boost::asio::steady_timer timer;
    };

    void hold(std::shared_ptr<HttpExchange>, const std::string& id);
    void answer(HttpExchange&, const std::string& id) const;

    boost::asio::io_context& m_io;
    std::string m_name;
    std::string m_zone;
    std::string m_service;
    Duration m_answerTime {};
    HttpServer m_server;
    Endpoint m_endpoint;
    std::uint64_t m_sequence = 0;
    SteadyClock m_clock;
    std::vector<ReceivedRequest> m_requests;
    std::map<std::uint64_t, HeldRequest> m_held; ///< By the number of the request.
};

/// A caller of one gateway. On each turn it sends one request on a lasting route and one on the newest route.
class RouteProbe final : public HttpClientEvents, public std::enable_shared_from_this<RouteProbe> {
public:
    RouteProbe(boost::asio::io_context&, std::string gateway, Endpoint);

    /// Starts a turn, unless one is in progress.
    void ask();
    /// Asks for this route from now on, and forgets what is known of the one before.
    void setRoute(const std::string& route);
    void onConnected() override;
    void onResponse(HttpResponse) override;
    void onLost(bool, const std::string&) override;

    std::optional<TimePoint> servedAt; ///< Sending time of the first request on the newest route that wasn't answered 404.
    std::vector<TimePoint> refused; ///< Sending times of the requests on the newest route that were answered 404.
    std::vector<TimePoint> answered; ///< Sending times of all requests on the newest route that were answered.

private:
    void send(const std::string& route);

    boost::asio::io_context& m_io;
    std::string m_gateway;
    Endpoint m_endpoint;
    SteadyClock m_clock;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::string m_newest;
    std::string m_inFlight;
    TimePoint m_sentAt {};
    bool m_isConnected = false;
    bool m_isBusy = false;
};

/// What one change of the configuration and the servers led to.
struct ChangeOutcome {
    /// For each gateway: when the route was served first, when the last request was sent that reached a draining server, and the newest
    /// lines of its log that say from where changes came.
    std::string report;
    std::string late; ///< The gateways that broke the limit, and how; empty when none did.
    double callsPerSecond = 0; ///< To the store, all gateways together.
};

/// Real gateways in three zones with a stand-in store, stand-in servers, a caller of each gateway, and a link for each ordered pair of
/// gateways. Everything else runs on the test's thread.
class FleetFixture {
public:
    explicit FleetFixture(std::size_t gateways);

    /// Publishes configurations until every gateway but one gets them from another gateway.
    bool settle();
    /// The place of the gateway that reads the store for the others. Precondition: settle() returned true.
    std::size_t first() const { return m_first; }
    std::size_t size() const { return m_gateways.size(); }
    /// Sets the delay of all links from the one gateway to the other; connections are opened in that direction.
    void setDelay(std::size_t from, std::size_t to, Duration);
    /// Publishes a configuration with a route more.
    void addRoute();
    /// The next server of that zone begins to drain.
    void drainServer(const std::string& zone);
    /// A server writes its entry anew, unchanged but for its sequence.
    void refreshServer();
    /// Adds a route, drains servers with `drain`, and follows both until the limit has passed.
    ChangeOutcome playChange(const std::function<void()>& drain);
    /// The same with a server drained in each zone.
    ChangeOutcome playChange();
    void runFor(Duration);

    standin::PublishedStoreServer& store() { return m_store; }
    GatewayProcess& gateway(std::size_t n) { return *m_gateways[n].process; }
    /// The newest lines of a gateway's log that say from where changes came, or that the store responded out of order.
    std::string originLines(std::size_t n) const;
    bool isInForceEverywhere() const;
    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const auto end = m_clock.now() + maxWait;
        while (!condition()) {
            if (m_clock.now() > end)
                return false;
            runFor(5ms);
        }
        return true;
    }

    /// Of the configuration and of the servers, as GatewayProcess sets it; from the store's acknowledgement.
    static constexpr Duration limit = 3s;

private:
    struct Gateway {
        std::unique_ptr<GatewayProcess> process;
        std::shared_ptr<RouteProbe> probe;
    };

    void startGateway(std::size_t n);
    std::string entryReadBy(const std::string& reader, const std::string& kind, const std::string& name, const std::string& spec);
    void publish();
    void ask();
    void judge(std::size_t n, TimePoint begin, ChangeOutcome&) const;
    bool isAppliedFromPeer(std::size_t n) const;

    TestFolder m_folder;
    boost::asio::io_context m_io { 1 };
    SteadyClock m_clock;
    standin::PublishedStoreServer m_store;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<FaultLink>> m_links; ///< By the connecting gateway and the other one.
    std::map<std::pair<std::string, std::string>, Duration> m_delays;

    std::deque<CountingServer> m_servers;
    std::vector<CountingServer*> m_draining;
    std::vector<Gateway> m_gateways;
    boost::asio::steady_timer m_askTimer;
    std::size_t m_first = 0;
    std::uint64_t m_version = 0;
};

}
