#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "base/time.h"
#include "dispatch/relay_action.h"
#include "membership/member_digest.h"
#include "rules/rule_delta.h"
#include "wire/claim_message.h"
#include "wire/search_message.h"
#include "wire/store_news.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// First message on each connection, both ways: who speaks.
struct Hello {
    InstanceName instance;
    ProcessLife life;
    ZoneName zone;

    friend bool operator==(const Hello&, const Hello&) = default;
};

/// Cancel one attempt of one leg.
struct CancelLeg {
    LegKey key;

    friend bool operator==(const CancelLeg&, const CancelLeg&) = default;
};

/// Ends of some attempts, back to the entry that ordered them.
struct LegResults {
    std::vector<LegResult> results;

    friend bool operator==(const LegResults&, const LegResults&) = default;
};

/// What a relay tells of its servers outside of an answer.
struct ServerNews {
    std::vector<ServerState> servers;

    friend bool operator==(const ServerNews&, const ServerNews&) = default;
};

/// Asks for the rules that came after the revision the sender has.
struct RuleRequest {
    RuleRevision haveRevision;

    friend bool operator==(const RuleRequest&, const RuleRequest&) = default;
};

/// A call that another instance must answer: cancel or explain a request.
struct Control {
    std::uint64_t sequence = 0;
    std::string verb;
    std::string argument;
    bool isAnswer = false;
    std::string payload;

    friend bool operator==(const Control&, const Control&) = default;
};

/// The one message of a frame.
using PeerMessage = std::variant<Hello, WorkOrder, CancelLeg, LegResults, ServerNews, AnnounceCrash, GossipMessage, RuleRequest, RuleDelta, Control, ClaimCall, ClaimReply, SearchCall,
    SearchNote, SearchReply, StoreNews>;

}
