#pragma once

#include "forward/forward_engine.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// What the callers of one zone got.
struct ZoneResult {
    int requests = 0;
    int inTime = 0;

    double inTimeShare() const { return requests == 0 ? 1 : static_cast<double>(inTime) / requests; }
};

/// Several engines in several zones over the servers of one service, on a virtual clock. Callers of each zone come at random
/// times to the instances of their zone. Requests and responses take the network time between the zones.
class ZoneFleet {
public:
    struct Server {
        std::string zone;
        Duration work = std::chrono::milliseconds(20);
        std::uint32_t slots = 2;
        bool isSilent = false;
        double reportedSlowdown = 1;
        int arrivals = 0;
        int foreignArrivals = 0; ///< From instances of other zones.
        std::vector<std::uint64_t> running;
        std::deque<std::uint64_t> waiting;
    };

    ZoneFleet(int instancesPerZone, std::uint64_t seed);

    /// Adds a server and returns its position.
    std::size_t addServer(const std::string& zone, Duration work = std::chrono::milliseconds(20));
    Server& server(std::size_t n) { return m_servers[n]; }
    /// Returns the sum over the servers of the zone.
    int foreignArrivalsIn(const std::string& zone) const;
    /// Sets the requests per second of the zone's callers.
    void setDemand(const std::string& zone, double perSecond) { m_demand[zone] = perSecond; }
    /// Runs the fleet and returns what the callers of that time got, by zone.
    std::map<std::string, ZoneResult> run(Duration);
    /// Returns the mean over the zone's instances of the share that left.
    double leftShareOf(const std::string& zone) const;
    /// Returns how often the mean share of the zone's instances changed its direction by more than a quarter.
    int swingsOf(const std::string& zone) const;

    static constexpr Duration targetLatency = std::chrono::milliseconds(160);

private:
    enum class EventKind : std::uint8_t {
        Call,
        Arrive,
        Finish,
        Respond,
        Sample,
    };
    struct Event {
        EventKind kind;
        std::string zone;
        std::uint64_t id = 0; ///< Of the attempt.
    };
    struct Attempt {
        std::size_t instance = 0;
        std::size_t server = 0;
        ServerRequestId id;
        bool isCancelled = false;
        ServerResponse response;
    };
    struct Node {
        std::string zone;
        std::unique_ptr<ForwardEngine> engine;
    };
    struct Call {
        std::string zone;
        TimePoint startedAt {};
    };

    void publish();
    void addEvent(Duration delay, Event event) { m_events.emplace(m_now + delay, std::move(event)); }
    void addNextCall(const std::string& zone);
    void handle(const Event&);
    void startCall(const std::string& zone);
    void arrive(std::uint64_t attempt);
    void startWaiting(std::size_t server);
    void finish(std::uint64_t attempt);
    void sendResponse(std::uint64_t attempt, ServerResponseKind);
    void respond(std::uint64_t attempt);
    void sampleShares();
    Duration networkTime(const Attempt&) const;
    void execute(std::size_t instance, const ForwardActions&);
    void deliver(std::size_t instance, const ForwardAnswer&);

    SeededRandom m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    std::shared_ptr<RouteTable> m_table;
    std::vector<Node> m_instances;
    std::vector<Server> m_servers;
    std::map<std::string, double> m_demand;
    std::multimap<TimePoint, Event> m_events;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> m_attemptsByRequest; ///< By instance and server request.
    std::map<std::pair<std::size_t, RequestNumber>, Call> m_calls;
    std::map<std::string, ZoneResult> m_results;
    std::map<std::string, std::vector<double>> m_shares;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastAttempt = 0;
};

}
