#pragma once

#include "forward/forward_request.h"
#include "forward/server_entry.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Hand a request to a server. It ends in exactly one onReply or onLost of the engine, unless it is closed.
struct SendToServer {
    SendId id;
    ServerEntry server;
    std::shared_ptr<const HttpRequest> message;
    std::string attemptId;
    TimePoint deadline = never;
    bool isRepeatable = false;
};

/// Give up a send: close its connection, so that the server stops work on it. Nothing is reported afterwards.
struct CloseSend {
    SendId id;
};

/// Ask another instance for some shards of a search. It ends in one onRelayed or onRelayFailed of the
/// engine, unless it is ended by EndRelay.
struct AskRelay {
    AskId id;
    InstanceName instance;
    ForwardRequest request;
    std::vector<ServiceName> shards;
    TimePoint answerBy = never; ///< When the parts should be here.
    Duration speaksWithin {}; ///< From its confirmation on: then it has answered or wants second sends, or it is silent.
};

/// The search doesn't wait for another instance any more.
struct EndRelay {
    AskId id;
};

/// Tell the other instance that it may send the legs which it named to a second server.
struct GrantSecondSends {
    AskId id;
};

/// A part runs for another instance, and these of its legs are late: ask whether they may be sent to a
/// second server. Until that is granted the other instance may take them back.
struct WantSecondSends {
    RequestNumber request;
    std::vector<std::uint32_t> positions; ///< In what the other instance asked for.
};

/// Tell all other instances that a server ended while it ran that content.
struct TellOfCrash {
    Fingerprint content;
    ServerName server;
};

/// Give the caller its answer.
struct DeliverForwardAnswer {
    ForwardAnswer answer;
};

/// How much a decision explains: when lines are limited, the least telling ones give way first.
enum class DecisionWeight : std::uint8_t {
    Plain, ///< A success.
    Extra, ///< A second send.
    Failure, ///< A refusal, a failure or a partial answer.
};

/// One decision about a request, for the log.
struct NoteForwardDecision {
    DecisionWeight weight = DecisionWeight::Plain;
    std::string attemptId;
    std::string event;
    std::string detail; ///< The inputs that decided it, as "key=value" pairs.
};

using ForwardAction = std::variant<SendToServer, CloseSend, AskRelay, EndRelay, GrantSecondSends, WantSecondSends, TellOfCrash, DeliverForwardAnswer, NoteForwardDecision>;
using ForwardActions = std::vector<ForwardAction>;

}
