#pragma once

#include "base/random_source.h"
#include "forward/crash_quarantine.h"
#include "forward/delegate_chooser.h"
#include "forward/extra_attempt_budget.h"
#include "forward/forward_action.h"
#include "forward/forward_request.h"
#include "forward/forward_settings.h"
#include "forward/route_times.h"
#include "forward/server_pool.h"
#include "routing/split_picker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// Counters that only grow.
struct ForwardCounters {
    std::uint64_t requests = 0;
    std::uint64_t firstSends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t relayedLegs = 0; ///< Legs that other instances were asked for.
    std::uint64_t shedLegs = 0; ///< Legs of searches left out because they would have come too late.
    std::uint64_t extrasDenied = 0; ///< Sends that the budget had no room for.
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t passedThrough = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t gone = 0; ///< Callers that left before their answer.
    std::uint64_t late = 0; ///< Answers after the route's target latency.

    friend bool operator==(const ForwardCounters&, const ForwardCounters&) = default;
};

/// Decides for requests that an instance sends straight to backend servers: which server, when a
/// second one, when the answer is good enough, and what the caller is told.
///
/// A search is answered when all parts are in, or just before its target latency with those that
/// are in, if they cover enough. A send that is late goes to a second server, within the budget. A
/// request that must not run twice is sent again only after a proof that it did not run.
/// It does no I/O: every call takes the time and appends actions for the caller to carry out. Not thread safe.
class ForwardEngine {
public:
    ForwardEngine(ForwardSettings, std::unique_ptr<RandomSource>);

    /// Precondition: the number was never used before, and the route points into the table.
    void start(ForwardRequest, TimePoint, ForwardActions&);
    void onResponse(ServerRequestId, const ServerResponse&, TimePoint, ForwardActions&);
    /// The send ended without a reply.
    void onLost(ServerRequestId, ServerRequestFailure, TimePoint, ForwardActions&);
    /// The caller has left: nothing more is sent, and repeatable work is ended at the servers.
    void cancel(RequestNumber, TimePoint, ForwardActions&);
    /// The process is about to end: every request gets what there is for it.
    void finishAll(TimePoint, ForwardActions&);

    /// The parts that another instance got. The covered shards are positions in what it was asked for.
    void onDelegationAnswered(DelegationId, const ForwardAnswer&, TimePoint, ForwardActions&);
    /// The other instance will not answer. mayHaveRun: it may have sent the request to servers.
    void onDelegationFailed(DelegationId, bool mayHaveRun, TimePoint, ForwardActions&);
    /// The other instance confirmed and then said nothing for longer than it should. True: its legs go
    /// on from here, and it must be told so; false: it is waited for.
    bool onDelegationSilent(DelegationId, TimePoint, ForwardActions&);
    /// The other instance wants to send these legs to a second server. It may, as long as we wait for it.
    void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions, ForwardActions&);
    /// The instance that asked for this part leaves second sends to us.
    void onExtraAttemptsGranted(RequestNumber, TimePoint, ForwardActions&);
    /// Other instances may be asked from now on. Precondition: the chooser outlives the engine's use.
    void setRelays(DelegateChooser& relays) { m_relays = &relays; }
    /// Another instance saw a server end while it ran that content.
    void onCrashNews(Fingerprint, const ServerName&, TimePoint);
    /// The servers that may get work.
    void onServers(const std::map<ServerName, ServerEntry>&, TimePoint);
    /// The routes in force, so that what is kept for others can go.
    void onRoutes(const RouteTable&);
    void setInstances(std::uint32_t n) { m_pool.setInstances(n); }

    /// Runs what has come due. Call it no later than nextWake().
    void onTimer(TimePoint, ForwardActions&);
    /// When onTimer must run next; `never` when nothing waits.
    TimePoint nextWake() const;

    std::size_t inFlight() const { return m_requests.size(); }
    const ForwardCounters& counters() const { return m_counters; }

private:
    /// One send to one server, kept until it is over, even when its request was answered before.
    struct Send {
        TrackedServerPtr server;
        TimePoint sentAt {};
        TimePoint closeAt = never; ///< When it is given up, once nobody waits for it.
        RequestNumber request;
        std::size_t leg = 0;
        std::string routeName;
        bool isIdempotent = false;
    };
    enum class LegStage : std::uint8_t {
        Unsent, ///< It waits for a server that has room.
        Sent,
        Done,
        Missing, ///< It ended without an answer.
        Relayed, ///< Another instance asks for it.
        Shed, ///< It was left out; it is sent after all when the search can't spare it any more.
    };
    struct Leg {
        ServiceName service;
        LegStage stage = LegStage::Unsent;
        std::vector<TrackedServerPtr> tried;
        std::vector<ServerRequestId> open;
        std::uint32_t mayHaveRun = 0; ///< Servers that it may have run on.
        std::uint32_t arrivals = 0; ///< Sends that may have reached a server.
        std::uint32_t relayRuns = 0; ///< While another instance has it: servers that it may run on there.
        bool isCounted = false; ///< Its first send has earned its part of the budget.
        TimePoint hedgeAt = never;
        std::string signature;
        std::string body;
        std::optional<HttpResponse> ownAnswer; ///< What a server answered to a single request, success or failure.
    };
    static bool isWaiting(const Leg& leg) { return leg.stage == LegStage::Unsent || leg.stage == LegStage::Sent; }
    struct Request {
        ForwardRequest request;
        std::vector<Leg> legs;
        TimePoint startedAt {};
        TimePoint deadline = never; ///< The sooner of the caller's and the route's.
        TimePoint answerBy = never; ///< A search is answered from here on once it covers enough.
        TimePoint due = never;
        std::size_t done = 0;
        std::size_t missing = 0;
        bool mayHaveRun = false;
        std::map<DelegationId, std::vector<std::size_t>> asks; ///< Legs that other instances were asked for, in the order of each call.
        TimePoint wantAt = never; ///< Of a part: when second sends are asked for.
        bool mayUseExtraAttempts = true; ///< False while another instance may take the legs back.

        const Route& route() const { return *request.route; }
        std::size_t pending() const { return legs.size() - done - missing; }
        /// Legs that an answer must cover; of a part, whatever is in serves.
        std::size_t needed() const { return route().isSearch() && !request.isPart() ? route().minimumShards() : 1; }
        bool coversEnough() const { return done >= needed(); }
        bool canCoverEnough() const { return done + pending() >= needed(); }
        /// Legs that may still end without an answer.
        std::size_t spareLegs() const { return canCoverEnough() ? done + pending() - needed() : 0; }
    };

    Request* find(RequestNumber);
    /// What a reply shows of the server that gave it.
    void judgeServer(const Send&, const ServerResponse&, TimePoint);
    void review(Request&, TimePoint, ForwardActions&);
    void reviewLeg(Request&, std::size_t leg, TimePoint, ForwardActions&);
    /// Asks other instances for the legs that have no server in this zone, and for those of this zone
    /// when they are too many for this instance.
    void giveLegs(Request&, TimePoint, ForwardActions&);
    void giveFarLegs(Request&, std::vector<std::size_t> legs, TimePoint, ForwardActions&);
    /// Cuts the legs into groups and asks an instance of the zone for each.
    void askInGroups(Request&, const ZoneName&, const std::vector<std::size_t>& legs, TimePoint, ForwardActions&);
    /// Legs that this instance can send and read within a small part of the target latency.
    std::size_t mostLegsHere(const Route&) const;
    void ask(Request&, const InstanceName&, std::vector<std::size_t> legs, TimePoint, ForwardActions&);
    /// Ends the call; empty when it is unknown.
    std::vector<std::size_t> takeAsk(Request&, DelegationId);
    Request* findAsker(DelegationId);
    /// Whether the answer names legs of the call, each once.
    static bool isSound(const ForwardAnswer&, std::size_t asked);
    /// A leg that the other instance did not get: it goes on from here, unless it ran on as many servers as it may.
    void returnLeg(Request&, std::size_t leg, std::uint32_t runs, TimePoint, ForwardActions&);
    void endRelays(Request&, ForwardActions&);
    /// Of a part: asks for second sends once its legs are late.
    void wantSecondSends(Request&, TimePoint, ForwardActions&);
    /// Leaves out the legs that are expected too late, as far as the search can spare them.
    void shedLegs(Request&, TimePoint);
    /// Sends legs that were left out, while the search can't cover enough without them.
    void reviveLegs(Request&, TimePoint, ForwardActions&);
    /// Puts a leg in line for a server of its service. It looks again by itself too, as no send of ours may end there.
    void enqueue(Request&, std::size_t leg, TimePoint);
    /// A server of that service has room: the leg that is most urgent and waits longest is sent.
    void sendNext(const ServiceName&, TimePoint, ForwardActions&);
    /// How long a leg in line now waits for room.
    Duration expectedWait(const Leg&, const PickContext&) const;
    bool trySend(Request&, std::size_t leg, bool isHedge, TimePoint, ForwardActions&);
    bool takeBudget(const Request&, Leg&, TimePoint);
    /// A server ended the connection while it may have run the request.
    void recordCrash(const Request&, const ServerName&, TimePoint, ForwardActions&);
    /// Whether it ended too many servers; zero when it may run.
    Duration quarantineLeft(const Request&, TimePoint) const;
    void onLegFailed(Request&, std::size_t leg, TimePoint, ForwardActions&);
    void endLeg(Request&, Leg&, LegStage);
    void acceptPart(Request&, Leg&, const ServerResponse&);
    bool mayRunAgain(const Request&, const Leg&) const;
    Duration hedgeDelay(const Route&);
    Duration maxHedgeDelay(const Route&) const;
    TrackedServerPtr pickServer(const Request&, const Leg&, const PickContext&) const;
    /// A second send that is expected to take longer helps nobody.
    Duration hedgeMustEndWithin(const Request&, TimePoint) const;
    PickContext contextFor(const Route&, const Leg&, TimePoint);
    void schedule(Request&, TimePoint);
    void leaveQueue(const Request&, std::size_t leg);
    void forgetSend(ServerRequestId, TimePoint);
    void closeSend(ServerRequestId, TimePoint, ForwardActions&);
    void abandonSends(Request&, bool closeNow, TimePoint, ForwardActions&);

    void finish(Request&, TimePoint, ForwardActions&);
    /// Ends everything that is kept for the request, and the request itself.
    void forget(Request&, bool closeSends, TimePoint, ForwardActions&);
    ForwardAnswer answerOf(Request&, TimePoint);
    ForwardAnswer searchAnswer(Request&) const;
    void countAnswer(const Request&, const ForwardAnswer&, TimePoint);
    ExtraAttemptBudgetLimits budgetLimits() const;

    ForwardSettings m_settings;
    std::unique_ptr<RandomSource> m_random;
    ServerPool m_pool;
    DelegateChooser* m_relays = nullptr;
    SplitPicker m_splits;
    std::unordered_map<RequestNumber, Request> m_requests;
    std::unordered_map<ServerRequestId, Send> m_sends;
    std::set<std::pair<TimePoint, RequestNumber>> m_due;
    std::set<std::pair<TimePoint, ServerRequestId>> m_closings;
    /// A leg that waits for a server with room: by rank, then by age.
    struct QueuedLeg {
        std::uint32_t rank = 0;
        RequestNumber request;
        std::size_t leg = 0;
        friend auto operator<=>(const QueuedLeg&, const QueuedLeg&) = default;
    };
    std::unordered_map<ServiceName, std::set<QueuedLeg>> m_queues;
    std::unordered_map<ServiceName, ExtraAttemptBudget> m_budgets;
    std::map<std::string, RouteTimes> m_times;
    CrashQuarantine m_crashes;
    std::uint64_t m_lastSend = 0;
    std::uint64_t m_lastAsk = 0;
    std::unordered_map<DelegationId, RequestNumber> m_asks;
    ForwardCounters m_counters;
};

}
