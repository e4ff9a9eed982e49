#pragma once

#include "base/error.h"
#include "membership/member_digest.h"
#include "rules/rule_delta.h"

namespace lycheefield::wire {

class Gossip;
class RuleDelta;

}

namespace lycheefield {

/// Conversions between the messages of membership and rules and their Thrift structs. Values from a
/// peer are checked; one that is out of range is an error of kind InvalidInput. Thread safe.
wire::Gossip toWire(const GossipMessage&);
Result<GossipMessage> fromWire(const wire::Gossip&);

wire::RuleDelta toWire(const RuleDelta&);
Result<RuleDelta> fromWire(const wire::RuleDelta&);

}
