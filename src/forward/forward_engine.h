#pragma once

#include "base/random_source.h"
#include "forward/cancelled_attempts.h"
#include "forward/delegate_chooser.h"
#include "forward/extra_attempt_budget.h"
#include "forward/fair_queue.h"
#include "forward/forward_action.h"
#include "forward/forward_request.h"
#include "forward/forward_settings.h"
#include "forward/route_times.h"
#include "forward/server_pool.h"
#include "forward/service_waits.h"
#include "query/crash_evidence.h"
#include "routing/split_picker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// Monotonic counters of the engine.
struct ForwardCounters {
    std::uint64_t requests = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t delegatedLegs = 0; ///< Legs delegated to other instances.
    std::uint64_t attemptsInOtherZones = 0; ///< Attempts sent to servers in other zones.
    std::uint64_t limitedLegs = 0; ///< Legs shed because their servers allow no more requests.
    std::uint64_t limitedRequests = 0; ///< Requests refused for the same reason.
    std::uint64_t refusedEarly = 0; ///< Requests refused because their servers are expected to be free too late for them.
    std::uint64_t shedLegs = 0; ///< Legs shed from searches because their responses were expected too late.
    std::uint64_t extraAttemptsDenied = 0; ///< Extra attempts that the budget did not allow.
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t passedThrough = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t disconnectedCallers = 0; ///< Requests whose caller disconnected before the answer.
    std::uint64_t lateAnswers = 0; ///< Answers after the route's target latency.

    friend bool operator==(const ForwardCounters&, const ForwardCounters&) = default;
};

/// Decides how requests are forwarded from an instance to backend servers: the server of each attempt,
/// the time of a hedge or retry, and the time and content of the answer.
///
/// A search is answered when all parts have arrived, or just before its target latency with the parts
/// received so far if they cover enough shards. A late leg of an idempotent request is hedged within
/// the budget. A non-idempotent request is retried only after proof that it did not run.
/// Performs no I/O: each call takes the current time and appends actions for its caller to execute. Not
/// thread safe.
class ForwardEngine {
public:
    ForwardEngine(ForwardSettings, std::unique_ptr<RandomSource>);

    /// Starts a request. Precondition: the number was never used before, and the route points into the table.
    void start(ForwardRequest, TimePoint, ForwardActions&);
    void onResponse(ServerRequestId, const ServerResponse&, TimePoint, ForwardActions&);
    /// Handles an attempt that ended without a response.
    void onServerRequestFailed(ServerRequestId, ServerRequestFailure, TimePoint, ForwardActions&);
    /// Handles the result of a check.
    void onServerChecked(const ServerName&, ServerCheck, TimePoint, ForwardActions&);
    /// Ends a request whose caller has disconnected, and cancels its idempotent attempts at the servers.
    void cancel(RequestNumber, TimePoint, ForwardActions&);
    /// Sets when finishAll() will be called. From now on a request that would not be answered by then is refused as not run.
    void setEnd(TimePoint end) { m_end = end; }
    /// Answers every request with the parts received so far, before the process ends.
    void finishAll(TimePoint, ForwardActions&);

    /// Handles the parts that the delegate received. The covered shards are positions in the delegation's shards.
    void onDelegationAnswered(DelegationId, const ForwardAnswer&, TimePoint, ForwardActions&);
    /// Handles a delegation that will not be answered. mayHaveRun: the delegate may have sent the request to servers.
    void onDelegationFailed(DelegationId, bool mayHaveRun, TimePoint, ForwardActions&);
    /// Handles a delegate that confirmed and then sent nothing within the silence time-out. Returns true
    /// if its legs are taken back, of which it must be notified; false if the search still waits for it.
    bool onDelegationSilent(DelegationId, TimePoint, ForwardActions&);
    /// Grants the delegate extra attempts for these legs, if the search still waits for it.
    void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions, ForwardActions&);
    /// Allows extra attempts for legs delegated to this instance, as granted by the delegating instance.
    void onExtraAttemptsGranted(RequestNumber, TimePoint, ForwardActions&);
    /// Enables delegation to other instances. Precondition: the chooser outlives the engine.
    void setDelegateChooser(DelegateChooser& chooser) { m_delegateChooser = &chooser; }
    /// Records what another instance announced about a content that crashed servers.
    void onCrashAnnounced(const CrashNews&, TimePoint, ForwardActions&);
    /// Returns announcements of the quarantined and the latest suspect contents.
    std::vector<CrashNews> crashAnnouncements(TimePoint now) const { return m_evidence.announcements(now); }
    /// Replaces the servers that may get work.
    void onServers(const std::map<ServerName, ServerEntry>&, TimePoint);
    /// Sets the zones whose servers get no new work, as if they were draining: also servers that are listed later.
    void setDrainedZones(const std::set<ZoneName>& zones) { m_pool.setDrainedZones(zones); }
    /// Discards the state of routes and services that are not in the table.
    void onRoutes(const RouteTable&, TimePoint);
    /// Sets the instances that share the servers' connections and request rates and the retry budget.
    void setInstances(const std::vector<Instance>&, TimePoint);

    /// Executes everything that is due. Must be called no later than nextWake().
    void onTimer(TimePoint, ForwardActions&);
    /// Returns when onTimer must run next; `never` when nothing is scheduled.
    TimePoint nextWake() const;

    std::size_t inFlight() const { return m_requests.size(); }
    /// Returns the bytes of servers' responses that wait for the answers of their requests.
    std::uint64_t heldBytes() const { return m_heldBytes; }
    const ForwardCounters& counters() const { return m_counters; }
    /// Returns the highest share of one service's last requests that left the zone.
    double highestLeftShare() const { return m_pool.highestLeftShare(); }

private:
    /// Separate crashes from which content is suspect. A server that crashes by itself breaks one attempt of a content, and its retry
    /// mostly succeeds.
    static constexpr std::uint32_t minSuspectCrashes = 2;
    /// Servers that crash within this time of each other while they run one search may have crashed because of it. Its legs wait
    /// for so long before they go to other servers.
    static constexpr Duration simultaneousCrashTime = std::chrono::milliseconds(5);

    /// An attempt, kept until it ends even when its request has already been answered.
    struct Attempt {
        TrackedServerPtr server;
        ServiceName service; ///< Of the leg; the server may meanwhile be listed for another one.
        TimePoint sentAt {};
        std::uint64_t sequence = 0; ///< The place in the order of all attempts of this instance.
        TimePoint cancelAt = never; ///< When the attempt is cancelled, once its response is no longer needed.
        RequestNumber request;
        std::size_t leg = 0;
        std::string routeName;
        Fingerprint content;
        bool isIdempotent = false;
        bool isSearch = false;
        bool isProbe = false; ///< The only attempt of suspect content that its request has in flight.
        bool isUnserved = false; ///< Its request has ended, and its leg was not served.
    };
    enum class LegStage : std::uint8_t {
        Unsent, ///< Waiting for a server with capacity.
        Sent,
        Done,
        Missing, ///< Ended without a usable response.
        Delegated, ///< Sent by another instance.
        Shed, ///< Left out, and sent only if the search can't cover enough shards without the leg.
    };
    struct Leg {
        ServiceName service;
        LegStage stage = LegStage::Unsent;
        std::vector<TrackedServerPtr> tried;
        std::vector<ServerRequestId> inFlight;
        std::uint32_t mayHaveRun = 0; ///< Number of servers that the leg may have run on.
        std::uint32_t arrivals = 0; ///< Number of attempts that may have reached a server.
        std::uint32_t delegateRuns = 0; ///< While delegated: number of servers that the leg may run on.
        bool isCounted = false; ///< Whether the first attempt has been counted for the budget.
        TimePoint hedgeAt = never;
        TimePoint waitsSince = never; ///< When the leg began to wait for a server; `never` when it does not.
        Duration expectedWait {}; ///< At that time.
        std::string signature;
        std::string body;
        std::optional<HttpResponse> singleResponse; ///< A server's response, success or failure, to a request without shards.
    };
    static bool isWaiting(const Leg& leg) { return leg.stage == LegStage::Unsent || leg.stage == LegStage::Sent; }
    struct Request {
        ForwardRequest request;
        std::vector<Leg> legs;
        TimePoint startedAt {};
        TimePoint deadline = never; ///< The earlier of the caller's deadline and the route's timeout.
        TimePoint answerBy = never; ///< From then on a search is answered as soon as it covers enough shards.
        TimePoint due = never;
        std::size_t done = 0;
        std::size_t missing = 0;
        std::string mergedRecords; ///< The greatest records of the parts whose bodies are no longer kept.
        std::size_t heldBytes = 0; ///< Of the records and responses that wait for the answer.
        Duration refusedWait {}; ///< Of a request that is refused early: the time after which a retry may be served.
        bool mayHaveRun = false;
        std::map<DelegationId, std::vector<std::size_t>> delegations; ///< The legs of each delegation, in the order of its shards.
        TimePoint requestExtraAt = never; ///< For legs delegated to this instance: when extra attempts are requested.
        bool mayUseExtraAttempts = true; ///< False while the delegating instance may take the legs back.
        bool hasPassedProbe = false; ///< A server has served the request although its content is suspect.

        const Route& route() const { return *request.route; }
        std::size_t pending() const { return legs.size() - done - missing; }
        /// Returns the minimum number of legs in an answer; one for legs delegated to this instance, each of whose parts is useful.
        std::size_t needed() const { return route().isSearch() && !request.isPart() ? route().minimumShards() : 1; }
        bool coversEnough() const { return done >= needed(); }
        bool canCoverEnough() const { return done + pending() >= needed(); }
        /// Returns the number of legs that may still fail without leaving too little coverage.
        std::size_t sheddableLegs() const { return canCoverEnough() ? done + pending() - needed() : 0; }
    };

    Request* find(RequestNumber);
    /// Returns the time from the read of a search until its answer is due, so that it reaches the caller in time.
    Duration timeToAnswer(const Request&) const;
    /// Returns whether the request would probably still run when the process ends.
    bool endsTooLate(const Request&, TimePoint) const;
    /// Updates the server's statistics from its response.
    void recordServerResponse(const Attempt&, const ServerResponse&, TimePoint);
    /// Answers the request if it is complete or due; otherwise sends the legs that are due and sets the next timer.
    void review(Request&, TimePoint, ForwardActions&);
    void reviewLeg(Request&, std::size_t leg, TimePoint, ForwardActions&);
    /// Delegates the legs without a server in this zone, and legs of this zone if they are too many for
    /// this instance.
    void delegateLegs(Request&, TimePoint, ForwardActions&);
    /// Passes the round trips to other zones' instances to the server pool, once in a while.
    void learnNetworkTimes(TimePoint);
    void delegateRemoteLegs(Request&, std::vector<std::size_t> legs, TimePoint, ForwardActions&);
    /// Divides the legs into groups and delegates each to an instance of the zone.
    void delegateInGroups(Request&, const ZoneName&, const std::vector<std::size_t>& legs, TimePoint, ForwardActions&);
    /// Returns the number of legs that this instance can process within a small share of the target latency.
    std::size_t maxLocalLegs(const Route&) const;
    void delegate(Request&, const InstanceName&, std::vector<std::size_t> legs, TimePoint, ForwardActions&);
    /// Removes a delegation and returns its legs; empty when the delegation is unknown.
    std::vector<std::size_t> takeDelegation(Request&, DelegationId);
    Request* findDelegatingRequest(DelegationId);
    /// Returns whether the answer names only delegated shards, each at most once.
    static bool isValid(const ForwardAnswer&, std::size_t shards);
    /// Takes back a leg that the delegate did not complete, and sends it from here unless it may not run again.
    void takeBackLeg(Request&, std::size_t leg, std::uint32_t runs, TimePoint, ForwardActions&);
    /// Excludes, for the legs that a delegate ran without success, the servers that it probably tried.
    void avoidTriedServers(Request&, const std::vector<std::size_t>& legs, const ForwardAnswer&, TimePoint);
    void cancelDelegations(Request&, ForwardActions&);
    /// Requests extra attempts from the delegating instance once the legs delegated to this instance are late.
    void requestExtraAttempts(Request&, TimePoint, ForwardActions&);
    /// Returns whether the delegated leg may go to a second server only once the delegating instance grants it.
    bool awaitsGrant(const Request&, const Leg&) const;
    /// Requests extra attempts at once for a delegated leg whose attempt failed: this instance knows the servers it tried, and the
    /// delegating instance does not. Returns false if the leg is left to that instance.
    bool requestGrant(Request&, Leg&, TimePoint);
    /// Leaves the legs that failed here to the delegating instance once their content is suspect, so that one instance probes it.
    void endSuspectRetries(Request&, TimePoint);
    /// Sheds the legs whose responses are expected too late, as far as the coverage allows.
    void shedLegs(Request&, TimePoint);
    /// Sheds the legs whose servers allow no request now. Returns false if too few legs are left; nothing is sent then.
    bool shedLimitedLegs(Request&, TimePoint);
    /// Sends shed legs while the search can't cover enough shards without them.
    void restoreShedLegs(Request&, TimePoint, ForwardActions&);
    /// Enqueues a leg for its service. The leg is also retried on a timer, because this instance may have
    /// no attempt in flight to the service whose end would dequeue the leg.
    void enqueue(Request&, std::size_t leg, TimePoint);
    static WaitingLeg waitingLeg(const Request&, std::size_t leg);
    /// Records that the leg is sent, takes a turn of its team and dequeues it.
    void recordLegSent(Request&, std::size_t leg, TimePoint);
    /// Sends the service's leg that is next in the order, once one of its servers has capacity. Returns whether it was sent.
    bool sendNextQueued(const ServiceName&, TimePoint, ForwardActions&);
    /// Sends the legs that go before a leg of a team, so that it takes no turn of theirs by arriving while a server is free.
    void sendQueuedAhead(const Request&, std::size_t leg, TimePoint, ForwardActions&);
    /// Returns the expected wait for capacity of a leg that is queued now, behind those that go before it.
    Duration expectedWait(const Request&, std::size_t leg, const PickContext&) const;
    /// Logs that requests for a service leave the zone from now on, or stay again.
    void logSpillChanges(TimePoint, ForwardActions&);
    /// Returns the expected time until the leg is served if it waits and is hopeless: later than its deadline.
    std::optional<Duration> hopelessTime(const Request&, std::size_t leg, TimePoint) const;
    /// Returns whether too few legs of a request of which nothing was sent can be served before its deadline, and records when a retry may be.
    bool isHopeless(Request&, TimePoint) const;
    /// Ends the only leg of a request that waits and became hopeless, unless it was sent before. Returns whether it did.
    bool endHopelessLeg(Request&, std::size_t leg, TimePoint);
    bool trySend(Request&, std::size_t leg, bool isHedge, TimePoint, ForwardActions&);
    bool takeBudget(const Request&, Leg&, TimePoint);
    /// Records that a server closed the connection while it may have run the attempt, whether or not its request still waits.
    void recordCrash(const Attempt&, TimePoint);
    static CrashedAttempt crashedAttempt(const Attempt&);
    void sendDueChecks(TimePoint, ForwardActions&);
    /// Records that a server has served the attempt.
    void recordServed(const Attempt&, TimePoint, ForwardActions&);
    /// Returns what is known about the content's crashes.
    CrashNews newsOf(Fingerprint, TimePoint) const;
    void announceCrashes(const ConfirmedCrash&, const ServerName&, TimePoint, ForwardActions&);
    /// Announces crashes under legs that end unserved, so that the content's next attempt meets instances that know them. Crashes
    /// under these legs that show later are announced as soon as they are certain.
    void announceUnservedCrashes(const Request&, TimePoint, ForwardActions&);
    ContentStanding standingOf(const Request&, TimePoint) const;
    /// Returns whether a server crashed a moment ago while it ran the search, so that others may be about to.
    bool awaitsSimultaneousCrashes(const Request&, TimePoint) const;
    /// Returns whether an attempt of the request may be sent now, given the crashes of its content.
    bool mayRunContent(const Request&, TimePoint) const;
    /// Returns the time until the leg of a search with suspect content may be sent: an attempt now could crash the last running
    /// server of the leg's service. Zero when the service has another one.
    Duration untilProbeAllowed(const Request&, const Leg&, TimePoint) const;
    /// Ends the legs of a request with suspect content if none may be sent as a probe.
    void endLegsWithoutProbe(Request&, TimePoint);
    static bool hasAttemptInFlight(const Request&);
    /// Sends one leg of a request with suspect content, preferably to a service whose servers crashed.
    void reviewProbe(Request&, TimePoint, ForwardActions&);
    /// Ends all legs that have not been sent, because the content is quarantined.
    void endUnsentLegs(Request&);
    /// Returns the remaining quarantine of the request's content; zero when it may run.
    Duration quarantineRemaining(const Request&, TimePoint) const;
    void onLegFailed(Request&, std::size_t leg, TimePoint, ForwardActions&);
    void endLeg(Request&, Leg&, LegStage);
    void acceptPart(Request&, Leg&, const ServerResponse&);
    /// Keeps the server's failure, which is the answer if no other attempt is served.
    void keepFailure(Request&, Leg&, const ServerResponse&);
    /// Drops a large failure of a leg that goes on waiting for another attempt.
    void dropLargeFailure(Request&, Leg&);
    /// Keeps only the greatest records of all parts received so far, when the parts are much longer than the answer.
    void mergeLargeParts(Request&);
    void setHeldBytes(Request&, std::size_t);
    bool mayRunAgain(const Request&, const Leg&) const;
    Duration hedgeDelay(const Request&);
    /// Returns the longest hedge delay: a share of the time that the request has, so that the second server can answer in time.
    Duration maxHedgeDelay(const Request&) const;
    TrackedServerPtr pickServer(const Request&, const Leg&, const PickContext&);
    /// Returns the expected latency beyond which a hedge is useless.
    Duration maxHedgeLatency(const Request&, TimePoint) const;
    PickContext contextFor(const Route&, const Leg&, TimePoint);
    void schedule(Request&, TimePoint);
    void dequeue(const Request&, std::size_t leg);
    void forgetAttempt(ServerRequestId, TimePoint);
    void cancelAttempt(ServerRequestId, TimePoint, ForwardActions&);
    /// Discards the responses to the leg's attempts in flight, as the leg needs none of them.
    static void discardResponses(const Leg&, ForwardActions&);
    void abandonAttempts(Request&, bool cancelNow, TimePoint, ForwardActions&);

    void finish(Request&, TimePoint, ForwardActions&);
    /// Discards the request and all state kept for it.
    void forget(Request&, bool cancelAttempts, TimePoint, ForwardActions&);
    ForwardAnswer makeAnswer(Request&, TimePoint);
    ForwardAnswer makeSearchAnswer(Request&) const;
    void countAnswer(const Request&, const ForwardAnswer&, TimePoint);
    ExtraAttemptBudgetLimits budgetLimits() const;

    ForwardSettings m_settings;
    std::unique_ptr<RandomSource> m_random;
    ServerPool m_pool;
    TimePoint m_learnNetworkTimesAt {};
    DelegateChooser* m_delegateChooser = nullptr;
    SplitPicker m_splits;
    std::unordered_map<RequestNumber, Request> m_requests;
    std::unordered_map<ServerRequestId, Attempt> m_attempts;
    std::set<std::pair<TimePoint, RequestNumber>> m_dueTimes;
    std::set<std::pair<TimePoint, ServerRequestId>> m_cancellations;
    std::unordered_map<ServiceName, FairQueue> m_queues;
    ServiceWaits m_waits;
    std::unordered_map<ServiceName, ExtraAttemptBudget> m_budgets;
    std::map<std::string, RouteTimes> m_times;
    CrashEvidence m_evidence;
    std::map<ServerName, ServerEntry> m_checkedServers; ///< The servers whose checks are due or in progress.
    std::multimap<TimePoint, ServerEntry> m_dueChecks;
    CancelledAttempts m_cancelledAttempts;
    TimePoint m_end = never; ///< When all requests are answered because the process ends.
    std::uint64_t m_heldBytes = 0; ///< Of all requests.
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastDelegation = 0;
    std::unordered_map<DelegationId, RequestNumber> m_delegations;
    ForwardCounters m_counters;
};

}
