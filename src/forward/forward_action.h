#pragma once

#include "forward/forward_request.h"
#include "forward/server_entry.h"
#include "query/crash_news.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheefield {

/// Send a request to a server. The engine's onResponse or onServerRequestFailed is called exactly once for the
/// request, unless CancelServerRequest ends it.
struct SendServerRequest {
    ServerRequestId id;
    ServerEntry server;
    std::shared_ptr<const HttpRequest> message;
    std::string attemptId;
    TimePoint deadline = never;
    bool isIdempotent = false;
    TeamName team {}; ///< Of the caller; empty when there is none.
};

/// Cancel a server request: close its connection, so that the server stops working on it. Nothing is
/// reported to the engine afterwards.
struct CancelServerRequest {
    ServerRequestId id;
};

/// Keep nothing of the response to a server request, which goes on: no request needs the response any more. Its end is
/// reported to the engine as usual.
struct DiscardServerResponse {
    ServerRequestId id;
};

/// What a check of a server has shown.
enum class ServerCheck : std::uint8_t {
    Running,
    Ended, ///< The server's address rejects connections.
    Unreachable, ///< The connection could not be opened for another reason: the server may run behind a network fault.
    NotMade, ///< This machine had no descriptor, port or memory for the connection. Nothing is known of the server.
};

std::string_view toString(ServerCheck);

/// Learn whether the server still runs, by a connection to it. The engine's onServerChecked() is called once.
struct CheckServer {
    ServerEntry server;
    bool mayUseOpenConnection = false; ///< Whether a connection that is open and idle answers the check.
};

/// Delegate some shards of a search to another instance. The engine's onDelegationAnswered or
/// onDelegationFailed is called once for the delegation, unless CancelDelegation ends it.
struct DelegateShards {
    DelegationId id;
    InstanceName instance;
    ForwardRequest request;
    std::vector<ServiceName> shards;
    TimePoint answerBy = never; ///< When the delegate's answer should arrive.
    Duration silenceTimeout {}; ///< From the delegate's confirmation until it must answer or request extra attempts.
};

/// Cancel a delegation: the search no longer waits for the delegate.
struct CancelDelegation {
    DelegationId id;
};

/// Allow the delegate to send the legs that it named to a second server.
struct GrantExtraAttempts {
    DelegationId id;
};

/// Ask the delegating instance whether these late legs may be sent to a second server. Until the
/// delegating instance grants this, it may take the legs back.
struct RequestExtraAttempts {
    RequestNumber request;
    std::vector<std::uint32_t> positions; ///< Positions in the delegation's shards.
};

/// Announce to all other instances what is known about a content that crashed servers.
struct AnnounceContentCrash {
    CrashNews news;
};

/// Tell the instance that delegated this request what is known about its content, before the request is answered.
struct ReportContentCrash {
    RequestNumber request;
    CrashNews news;
};

/// Send the answer to the caller.
struct DeliverForwardAnswer {
    ForwardAnswer answer;
};

/// Importance of a decision's log line. When the log rate is limited, the least important lines are dropped first.
enum class DecisionImportance : std::uint8_t {
    Plain, ///< A complete answer.
    Extra, ///< An extra attempt, a failed server request or a disconnected caller.
    Failure, ///< A refusal, a failure, a quarantine or a partial answer.
};

/// Write a decision about a request to the log.
struct LogForwardDecision {
    DecisionImportance importance = DecisionImportance::Plain;
    std::string attemptId;
    std::string event;
    std::string detail; ///< The inputs of the decision as "key=value" pairs.
};

using ForwardAction = std::variant<SendServerRequest, CancelServerRequest, DiscardServerResponse, CheckServer, DelegateShards, CancelDelegation, GrantExtraAttempts, RequestExtraAttempts, AnnounceContentCrash, ReportContentCrash, DeliverForwardAnswer, LogForwardDecision>;
using ForwardActions = std::vector<ForwardAction>;

}
