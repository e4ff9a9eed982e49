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

/// Counts the requests that this process has read.
using RequestNumber = StrongId<struct RequestNumberTag, std::uint64_t>;
/// One send of one leg to one server, unique within this process.
using ServerRequestId = StrongId<struct SendIdTag, std::uint64_t>;
/// One call to another instance for some legs of a search, unique within this process.
using DelegationId = StrongId<struct AskIdTag, std::uint64_t>;

/// A caller's request, matched to its route.
struct ForwardRequest {
    RequestNumber number;
    std::shared_ptr<const RouteTable> table; ///< Pinned: all legs come from this version.
    const Route* route = nullptr; ///< Points into the table.
    std::shared_ptr<const HttpRequest> message;
    std::string attemptId; ///< The caller's own id of this attempt.
    TimePoint deadline = never; ///< The caller's own; the route's timeout applies when it is sooner.
    TimePoint readAt {}; ///< When it was read from its caller.
    TimePoint answerBy = never; ///< When a search should be answered; `never`: as its route says.
    std::vector<ServiceName> onlyShards; ///< Of a search: a part of it for another instance, which wants what is in by answerBy. Empty: all shards.

    bool earnsBudget = true; ///< Its first sends earn this instance's budget for extra ones; false when they earn another's.

    bool isPart() const { return !onlyShards.empty(); }
};

/// What a server told about its own load.
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

enum class ServerResponseKind : std::uint8_t {
    Served, ///< A success with its signature and its whole body.
    NotRun, ///< The server proved that it did not run the request.
    WrongServer, ///< Another server has the address; it did not run the request.
    Failed, ///< The server ran it and reported a failure.
    Unusable, ///< No answer to this request; it may have run.
};

/// How a send ended that got no reply.
enum class ServerRequestFailure : std::uint8_t {
    NotConnected, ///< No connection could be opened. Nothing ran.
    ConnectionRejected, ///< The server ended a new connection before anything was handed over: it has no room for more. Nothing ran.
    Broken, ///< Some of the request was handed over; it may have run.
};

std::string_view toString(ServerRequestFailure);

/// Whether the first sends of that call earn the budget of the instance that runs it, or of the one
/// that asks: each is earned once in the fleet.
bool delegateEarnsBudget(DelegationId);

/// A server's reply, decoded.
struct ServerResponse {
    ServerResponseKind kind = ServerResponseKind::Unusable;
    std::string signature; ///< Proves who made the answer; empty when there is none.
    std::optional<ServerLoad> load;
    HttpResponse message;

    friend bool operator==(const ServerResponse&, const ServerResponse&) = default;
};

enum class ForwardAnswerKind : std::uint8_t {
    Search, ///< The merged records of the parts that are named.
    PassThrough, ///< One server's own answer, unchanged.
    NotRun, ///< Nothing of it ran or will run; the caller may come again.
    Failed, ///< It may have run.
    TimedOut, ///< It may have run, or runs still.
};

/// What the caller is told. Each request gets exactly one, unless its caller has left.
struct ForwardAnswer {
    RequestNumber request;
    ForwardAnswerKind kind = ForwardAnswerKind::Failed;
    std::vector<std::string> signatures; ///< Of the parts that are in.
    std::vector<std::uint32_t> coveredShards; ///< The shard of each signature, by its position in the request.
    std::vector<std::uint32_t> runs; ///< Of a part: servers that each of its shards may have run on.
    std::size_t missingShards = 0;
    HttpResponse message; ///< The records of a search, or the server's own answer.
    Duration retryAfter {}; ///< With NotRun: when it may succeed.
    std::string reason; ///< In words, for logs.

    friend bool operator==(const ForwardAnswer&, const ForwardAnswer&) = default;
};

}
