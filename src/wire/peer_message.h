#pragma once

#include "admission/quota_message.h"
#include "admission/role_claim.h"
#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"
#include "dispatch/relay_action.h"
#include "membership/member_digest.h"
#include "rules/rule_delta.h"
#include "wire/claim_message.h"
#include "wire/clock_message.h"
#include "wire/search_message.h"
#include "wire/store_news.h"
#include "wire/store_state_request.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// First message of both ends of a connection; identifies the sender.
struct Hello {
    InstanceName instance;
    ProcessLife life;
    ZoneName zone;

    friend bool operator==(const Hello&, const Hello&) = default;
};

/// Cancels one attempt of one leg.
struct CancelLeg {
    LegKey key;

    friend bool operator==(const CancelLeg&, const CancelLeg&) = default;
};

/// Results of some attempts, sent to the entry that ordered them.
struct LegResults {
    std::vector<LegResult> results;

    friend bool operator==(const LegResults&, const LegResults&) = default;
};

/// Server states that a relay announces apart from any leg result.
struct ServerStateUpdate {
    std::vector<ServerState> servers;

    friend bool operator==(const ServerStateUpdate&, const ServerStateUpdate&) = default;
};

/// Requests the rules that are newer than the sender's revision.
struct RuleRequest {
    RuleRevision haveRevision;

    friend bool operator==(const RuleRequest&, const RuleRequest&) = default;
};

/// A request to another instance, such as to cancel or explain a request of a caller, or the response.
struct Control {
    std::uint64_t sequence = 0;
    std::string verb;
    std::string argument;
    bool isAnswer = false;
    std::string payload;

    friend bool operator==(const Control&, const Control&) = default;
};

/// Any message between instances; each frame has exactly one.
using PeerMessage = std::variant<Hello, WorkOrder, CancelLeg, LegResults, ServerStateUpdate, AnnounceCrash, GossipMessage, RuleRequest, RuleDelta, Control, ClaimCall, ClaimReply, SearchCall,
    SearchNote, SearchReply, StoreNews, StoreStateRequest, QuotaCall, QuotaReply, ClockCall, ClockReply, RoleClaim, RoleClaimReply,
    RoleResignation>;

}
