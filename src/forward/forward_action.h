#pragma once

#include "forward/forward_request.h"
#include "forward/server_entry.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Hand a request to a server. It ends in exactly one onResponse or onLost of the engine, unless it is closed.
struct SendServerRequest {
    ServerRequestId id;
    ServerEntry server;
    std::shared_ptr<const HttpRequest> message;
    std::string attemptId;
    TimePoint deadline = never;
    bool isIdempotent = false;
};

/// Give up a send: close its connection, so that the server stops work on it. Nothing is reported afterwards.
struct CancelServerRequest {
    ServerRequestId id;
};

/// Ask another instance for some shards of a search. It ends in one onDelegationAnswered or onDelegationFailed of the
/// engine, unless it is ended by CancelDelegation.
struct DelegateShards {
    DelegationId id;
    InstanceName instance;
    ForwardRequest request;
    std::vector<ServiceName> shards;
    TimePoint answerBy = never; ///< When the parts should be here.
    Duration silenceTimeout {}; ///< From its confirmation on: then it has answered or wants second sends, or it is silent.
};

/// The search doesn't wait for another instance any more.
struct CancelDelegation {
    DelegationId id;
};

/// Tell the other instance that it may send the legs which it named to a second server.
struct GrantExtraAttempts {
    DelegationId id;
};

/// A part runs for another instance, and these of its legs are late: ask whether they may be sent to a
/// second server. Until that is granted the other instance may take them back.
struct RequestExtraAttempts {
    RequestNumber request;
    std::vector<std::uint32_t> positions; ///< In what the other instance asked for.
};

/// Tell all other instances that a server ended while it ran that content.
struct AnnounceContentCrash {
    Fingerprint content;
    ServerName server;
};

/// Give the caller its answer.
struct DeliverForwardAnswer {
    ForwardAnswer answer;
};

/// How much a decision explains: when lines are limited, the least telling ones give way first.
enum class DecisionImportance : std::uint8_t {
    Plain, ///< A success.
    Extra, ///< A second send.
    Failure, ///< A refusal, a failure or a partial answer.
};

/// One decision about a request, for the log.
struct LogForwardDecision {
    DecisionImportance weight = DecisionImportance::Plain;
    std::string attemptId;
    std::string event;
    std::string detail; ///< The inputs that decided it, as "key=value" pairs.
};

using ForwardAction = std::variant<SendServerRequest, CancelServerRequest, DelegateShards, CancelDelegation, GrantExtraAttempts, RequestExtraAttempts, AnnounceContentCrash, DeliverForwardAnswer, LogForwardDecision>;
using ForwardActions = std::vector<ForwardAction>;

}
