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

/// How one backend server of the world behaves.
struct ServerModel {
    Duration work = std::chrono::milliseconds(20); ///< Of one request.
    std::uint32_t slots = 2;
    std::uint32_t queue = 12; ///< More are refused unrun.
    bool isSilent = false; ///< Takes requests and never answers.
    bool tellsLoad = true;
};

/// Backend servers and callers around one engine, in virtual time.
class ForwardWorld {
public:
    explicit ForwardWorld(ForwardSettings);

    /// Adds a server that is listed at once.
    void addServer(const std::string& service, const std::string& name, const std::string& zone, ServerModel = {});
    void removeServer(const std::string& name);
    ServerModel& model(const std::string& name) { return m_servers.at(ServerName(name)).model; }
    void publish();

    /// A route that asks each of the services.
    Route searchRoute(const std::vector<std::string>& services) const;
    Route singleRoute(const std::string& service, bool isIdempotent) const;

    RequestNumber start(const Route&, Duration patience = std::chrono::seconds(3));
    void startAs(const ForwardRequest&);
    void leave(RequestNumber);
    /// Another instance's answer, its failure, or its wish for second sends.
    void relayed(DelegationId, const ForwardAnswer&);
    void relayFailed(DelegationId, bool mayHaveRun);
    /// True when its legs were taken back.
    bool relaySilent(DelegationId);
    void secondSendsWanted(DelegationId, const std::vector<std::uint32_t>& positions);
    /// The instance that asked for a part grants second sends.
    void secondSendsGranted(RequestNumber);
    const std::vector<DelegationId>& granted() const { return m_granted; }
    const std::vector<AnnounceContentCrash>& toldCrashes() const { return m_toldCrashes; }
    const std::vector<RequestExtraAttempts>& wanted() const { return m_wanted; }
    const std::vector<DelegateShards>& asked() const { return m_asked; }
    std::size_t endedRelays() const { return m_endedRelays; }
    /// Runs servers and timers for that long.
    void run(Duration);

    /// The first server's send of a request under way at it, ended by hand.
    void reply(ServerRequestId, ServerResponseKind);
    void lose(ServerRequestId, ServerRequestFailure);
    /// Sends that are at servers now, by their order.
    std::vector<SendServerRequest> sends() const;

    struct Outcome {
        ForwardAnswer answer;
        Duration took {};
    };
    const std::map<RequestNumber, Outcome>& outcomes() const { return m_outcomes; }
    const ForwardAnswer* answerTo(RequestNumber) const;
    TimePoint now() const { return m_now; }
    ForwardEngine& engine() { return m_engine; }
    std::size_t arrivals(const std::string& name) const { return m_servers.at(ServerName(name)).arrivals; }
    std::size_t closedSends() const { return m_closed; }

private:
    struct Server {
        ServerEntry entry;
        ServerModel model;
        std::vector<std::pair<TimePoint, SendServerRequest>> running;
        std::deque<SendServerRequest> waiting;
        std::size_t arrivals = 0;
    };

    /// Asks the engine and carries out what it decided.
    template <typename Decide>
    void decide(Decide askEngine)
    {
        ForwardActions actions;
        askEngine(actions);
        execute(actions);
    }
    void execute(const ForwardActions&);
    void arrive(const SendServerRequest&);
    void startWaiting(Server&);
    void forget(ServerRequestId);
    ServerResponse replyOf(const Server&, ServerResponseKind) const;
    TimePoint nextEnd() const;
    void endDue();

    TimePoint m_now { std::chrono::seconds(100) };
    std::map<ServerName, Server> m_servers;
    std::map<RequestNumber, TimePoint> m_started;
    std::map<RequestNumber, Outcome> m_outcomes;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_closed = 0;
    std::vector<DelegateShards> m_asked;
    std::size_t m_endedRelays = 0;
    std::vector<DelegationId> m_granted;
    std::vector<RequestExtraAttempts> m_wanted;
    std::vector<AnnounceContentCrash> m_toldCrashes;
    std::shared_ptr<RouteTable> m_table;
    std::vector<std::shared_ptr<RouteTable>> m_tables; ///< Requests point into them.
    ForwardEngine m_engine;
};

}
