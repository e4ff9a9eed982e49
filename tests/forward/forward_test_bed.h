#pragma once

#include "forward/forward_engine.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

/// Behaviour of one simulated backend server.
struct ServerModel {
    Duration work = std::chrono::milliseconds(20); ///< Time to run one request.
    std::uint32_t slots = 2;
    std::uint32_t queue = 12; ///< Waiting requests; further ones are refused without running.
    bool isSilent = false; ///< Accepts requests and never responds.
    bool reportsLoad = true;
    bool isLeaving = false; ///< Says so in its responses.
    Duration retryAfter {}; ///< Of its refusals.
    double lostShare = 0; ///< Responses that are lost because their connections break.
};

/// The settings of an instance in zone a with a large budget for extra attempts.
ForwardSettings settingsInZoneA();

/// Simulates the backend servers and callers of one engine on a virtual clock.
class ForwardTestBed {
public:
    explicit ForwardTestBed(ForwardSettings);

    /// Adds a server and lists it at once.
    void addServer(const std::string& service, const std::string& name, const std::string& zone, ServerModel = {});
    /// Adds two servers for each shard, named after it with -a and -b.
    void addReplicatedShards(const std::vector<std::string>&, ServerModel = {});
    void removeServer(const std::string& name);
    /// Replaces the server's process by a new one under the same name, and lists it.
    void restartServer(const std::string& name);
    ServerModel& model(const std::string& name) { return m_servers.at(ServerName(name)).model; }
    /// Removes the server's entry, or puts it back, while its process goes on.
    void setListed(const std::string& name, bool isListed);
    void publish();
    /// Drains these zones and no others.
    void drainZones(const std::set<ZoneName>& zones) { m_engine.setDrainedZones(zones); }

    /// Returns a search route with the services as its shards.
    Route searchRoute(const std::vector<std::string>& services) const;
    Route singleRoute(const std::string& service, bool isIdempotent) const;

    RequestNumber start(const Route&, Duration timeLimit = std::chrono::seconds(3));
    void startRequest(const ForwardRequest&);
    /// Sets the content of later requests.
    void setContent(Fingerprint content) { m_content = content; }
    /// Sets the team of the callers of later requests.
    void setTeam(const TeamName& team) { m_team = team; }
    /// Breaks the connections of all server requests in flight at once, as servers do that crash.
    void crashServersInFlight();
    /// Sets whether servers whose connections break still run; by default they have crashed.
    void setServersSurvive(bool survive) { m_serverCheck = survive ? ServerCheck::Running : ServerCheck::Ended; }
    /// Sets what every check of a server shows.
    void setServerCheck(ServerCheck check) { m_serverCheck = check; }
    const std::vector<ReportContentCrash>& reportedCrashes() const { return m_reportedCrashes; }
    /// Sets the network time between the instance and the callers of later requests.
    void setNetworkTime(Duration time) { m_networkTime = time; }
    void disconnect(RequestNumber);
    /// Passes the engine an event of a delegation: its answer, its failure, its silence or its request for extra attempts.
    void answerDelegation(DelegationId, const ForwardAnswer&);
    void failDelegation(DelegationId, bool mayHaveRun);
    /// Returns true if the engine took back the legs.
    bool reportDelegationSilent(DelegationId);
    void requestExtraAttempts(DelegationId, const std::vector<std::uint32_t>& positions);
    /// Grants extra attempts for delegated legs, as the delegating instance does.
    void grantExtraAttempts(RequestNumber);
    const std::vector<DelegationId>& grantedDelegations() const { return m_grantedDelegations; }
    /// Passes the engine what another instance announced.
    void announceCrash(const CrashNews&);
    const std::vector<AnnounceContentCrash>& announcedCrashes() const { return m_announcedCrashes; }
    const std::vector<RequestExtraAttempts>& extraAttemptRequests() const { return m_extraAttemptRequests; }
    const std::vector<DelegateShards>& delegations() const { return m_delegations; }
    std::size_t cancelledDelegations() const { return m_cancelledDelegations; }
    /// Runs servers and timers for the given time.
    void run(Duration);

    /// Ends a server request in flight with a response.
    void respond(ServerRequestId, ServerResponseKind);
    /// The same, with a body in place of the usual one.
    void respond(ServerRequestId, ServerResponseKind, const std::string& body);
    void failServerRequest(ServerRequestId, ServerRequestFailure);
    /// Returns the server requests in flight, in the order of their ids.
    std::vector<SendServerRequest> serverRequests() const;

    struct Outcome {
        ForwardAnswer answer;
        Duration took {};
    };
    const std::map<RequestNumber, Outcome>& outcomes() const { return m_outcomes; }
    const ForwardAnswer* answerTo(RequestNumber) const;
    TimePoint now() const { return m_now; }
    ForwardEngine& engine() { return m_engine; }
    std::size_t arrivals(const std::string& name) const { return m_servers.at(ServerName(name)).arrivals; }
    std::size_t cancelledRequests() const { return m_cancelledRequests; }
    /// Returns the server requests whose responses need not be kept.
    const std::vector<ServerRequestId>& discardedResponses() const { return m_discardedResponses; }

private:
    struct Server {
        ServerEntry entry;
        bool isListed = true;
        ServerModel model;
        std::vector<std::pair<TimePoint, SendServerRequest>> running;
        std::deque<SendServerRequest> waiting;
        std::size_t arrivals = 0;
    };

    /// Calls the engine and executes the resulting actions.
    template <typename Call>
    void callAndExecute(Call callEngine)
    {
        ForwardActions actions;
        callEngine(actions);
        execute(actions);
    }
    void execute(const ForwardActions&);
    void arrive(const SendServerRequest&);
    void startWaiting(Server&);
    void forget(ServerRequestId);
    ServerResponse responseOf(const Server&, ServerResponseKind) const;
    TimePoint nextCompletion() const;
    void completeDue();

    Duration m_networkTime {};
    Fingerprint m_content { 1 };
    TeamName m_team;
    ServerCheck m_serverCheck = ServerCheck::Ended;
    std::vector<ReportContentCrash> m_reportedCrashes;
    SeededRandom m_random { 7 };
    TimePoint m_now { std::chrono::seconds(100) };
    std::map<ServerName, Server> m_servers;
    std::map<RequestNumber, TimePoint> m_started;
    std::map<RequestNumber, Outcome> m_outcomes;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_cancelledRequests = 0;
    std::vector<ServerRequestId> m_discardedResponses;
    std::vector<DelegateShards> m_delegations;
    std::size_t m_cancelledDelegations = 0;
    std::vector<DelegationId> m_grantedDelegations;
    std::vector<RequestExtraAttempts> m_extraAttemptRequests;
    std::vector<AnnounceContentCrash> m_announcedCrashes;
    std::shared_ptr<RouteTable> m_table;
    std::vector<std::shared_ptr<RouteTable>> m_tables; ///< Kept because requests point into them.
    ForwardEngine m_engine;
};

}
