#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "http/http_message.h"
#include "routing/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Identifies one attempt, the request for one leg to one server, within this process.
using ServerRequestId = StrongId<struct ServerRequestIdTag, std::uint64_t>;
/// Identifies one delegation of legs to another instance within this process.
using DelegationId = StrongId<struct DelegationIdTag, std::uint64_t>;

/// A caller's request, matched to its route.
struct ForwardRequest {
    RequestNumber number;
    std::shared_ptr<const RouteTable> table; ///< The version that all legs of the request are routed by.
    const Route* route = nullptr; ///< Points into the table.
    std::shared_ptr<const HttpRequest> message;
    std::string attemptId; ///< The attempt id that the caller sent.
    TimePoint deadline = never; ///< The caller's deadline; the route's timeout applies when it ends earlier.
    TimePoint readAt {}; ///< When the request was read from its caller.
    TimePoint answerBy = never; ///< When a search should be answered; `never`: at the route's target latency.
    std::vector<ServiceName> onlyShards; ///< The delegated shards of another instance's search, to be answered by answerBy with the parts received so far. Empty: all shards.
    bool earnsBudget = true; ///< Whether the first attempts earn this instance's budget for extra attempts; false when they earn the delegating instance's.
    Duration networkTime {}; ///< Time that the request and its answer spend between the caller and this instance.
    Fingerprint content {}; ///< See contentOf().
    TeamName team {}; ///< The team of the caller, which the servers are told; empty when the configuration has no teams or the route is public.
    std::uint32_t teamRank = 0; ///< The team's priority, which goes before that of the route.
    std::string callerAddress {}; ///< The IP address from which the request came, for logs; empty when unknown.

    bool isPart() const { return !onlyShards.empty(); }
};

/// Returns the fingerprint by which a request is recognised when it is repeated, at this or another instance: the
/// method, host, path with query and body. The caller's network address is no part of it: servers do not see it, and one
/// caller may come from several addresses.
Fingerprint contentOf(const HttpRequest&);

/// The load that a server reported with its response.
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowdown = 1; ///< Time that work takes on the server's machine at that moment, as a multiple of the usual time.

    friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

enum class ServerResponseKind : std::uint8_t {
    Served, ///< A success with signature and whole body.
    NotRun, ///< The server stated that it did not run the request.
    WrongServer, ///< Another server has the address and did not run the request.
    Failed, ///< The server ran it and reported a failure.
    Unusable, ///< The response is not an answer to this request, which may have run.
};

/// Why a server request ended without a response.
enum class ServerRequestFailure : std::uint8_t {
    NotConnected, ///< The server did not take a connection. The request did not run.
    NoLocalResources, ///< This machine had no descriptor, port or memory for a connection, which says nothing of the server. The request did not run.
    Withdrawn, ///< The request was withdrawn before anything was sent, because its server may get no work any more. It did not run.
    ConnectionRejected, ///< The server, at its connection limit, closed a new connection before anything was sent. The request did not run.
    Broken, ///< The connection broke after some of the request was sent; the request may have run.
};

std::string_view toString(ServerRequestFailure);

/// Returns true if the first attempts of the delegation earn the delegate's budget, and false if they
/// earn the delegating instance's. Each first attempt earns only one budget in the fleet.
bool delegateEarnsBudget(DelegationId);

/// A decoded server response.
struct ServerResponse {
    ServerResponseKind kind = ServerResponseKind::Unusable;
    std::string signature; ///< Proves which server made the response; empty when there is none.
    std::optional<ServerLoad> load;
    std::optional<double> rateLimit; ///< Requests per second that the server allows all instances together; empty: any.
    Duration retryAfter {}; ///< With a refusal: the time for which the server wants no request of this instance; zero when it gives none.
    Duration warmupLeft {}; ///< How long the server goes on warming up; zero when it does not, or does not say.
    bool isLeaving = false; ///< The server leaves and should get no new work.
    HttpResponse message;

    friend bool operator==(const ServerResponse&, const ServerResponse&) = default;
};

enum class ForwardAnswerKind : std::uint8_t {
    Search, ///< The merged records of the parts whose signatures are given.
    PassThrough, ///< One server's response, unchanged.
    NotRun, ///< Nothing of the request has run or will run; the caller may retry.
    Failed, ///< The request may have run.
    TimedOut, ///< The request may have run or may still be running.
};

/// The answer to a caller. Each request gets exactly one, unless its caller has disconnected.
struct ForwardAnswer {
    RequestNumber request;
    ForwardAnswerKind kind = ForwardAnswerKind::Failed;
    std::vector<std::string> signatures; ///< Signatures of the received parts.
    std::vector<std::uint32_t> coveredShards; ///< The shard of each signature, as its position in the request.
    std::vector<std::uint32_t> runs; ///< In a delegate's answer: the number of servers that each shard may have run on.
    std::size_t missingShards = 0;
    HttpResponse message; ///< The records of a search, or the server's response.
    Duration retryAfter {}; ///< With NotRun: the time after which a retry may succeed.
    std::string reason; ///< The outcome in words, for logs.

    friend bool operator==(const ForwardAnswer&, const ForwardAnswer&) = default;
};

}
