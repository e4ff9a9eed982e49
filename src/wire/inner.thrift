namespace cpp lycheefield.wire

// One leg to run at one server.
struct LegOrder {
    1: required i32 leg
    2: required i32 attempt
    3: required i32 shard
    4: required string server
    5: optional bool isHedge = false
}

// All the legs of one request that one relay runs.
struct WorkOrder {
    1: required i64 requestLife
    2: required i64 requestCounter
    3: required string entry
    4: required string serviceName
    5: required i32 kind
    6: required i32 priority
    7: required i64 budgetMicros // Time left until the deadline when the message was sent.
    8: required i64 indexVersion
    9: required i64 partitionEpoch
    10: required i64 fingerprint
    11: required binary body
    12: optional string traceparent
    13: required list<LegOrder> legs
}

struct LegKey {
    1: required i64 requestLife
    2: required i64 requestCounter
    3: required i32 leg
    4: required i32 attempt
}

struct ServerState {
    1: required string server
    2: required i32 inFlight
    3: required i32 queued
    4: required i32 slots
    5: required list<i64> versions
    6: required bool draining
    7: required bool ejected
    8: required i64 recentLatencyMicros
    9: optional list<i32> queuedBy // At each priority, the most urgent first.
}

struct LegResult {
    1: required LegKey key
    2: required i32 shard
    3: required i32 outcome
    4: required i64 indexVersion
    5: required i64 partitionEpoch
    6: required list<string> batches
    7: required binary body
    8: required ServerState state
    9: required i64 queueMicros
    10: required i64 serviceMicros
    11: optional bool crashed = false
    12: optional i64 retryAfterMicros = 0
    13: optional string detail
}

struct CrashNews {
    1: required i64 fingerprint
    2: required i32 crashes
    3: required i64 quarantineMicros
    4: optional string server // Where it crashed; without it nobody but the sender probes the content.
    5: optional i32 shard
    6: optional string serviceName // The service of the server.
}

// First message on each connection, both ways.
struct Hello {
    1: required string instance
    2: required i64 life
    3: required string zone
}

// What one instance says of another (or of itself) in a digest.
struct InstanceDigest {
    1: required string name
    2: required i64 life
    3: required i64 incarnation
    4: required i32 health
    5: optional string innerAddress
    6: optional i32 innerPort
    7: optional string httpAddress
    8: optional i32 httpPort
    9: optional string zone
    10: optional i64 ruleRevision
}

// Probe or its answer; carries what the sender thinks is news.
struct Gossip {
    1: required i64 sequence
    2: required bool isAnswer
    3: required list<InstanceDigest> digests
    4: required i64 ruleRevision
    5: optional string probeTarget // Ask the receiver to probe this instance for the sender.
}

struct RuleRequest {
    1: required i64 haveRevision
}

// Rules as a difference from the revision that the receiver has, or whole when baseRevision is 0.
struct RuleDelta {
    1: required i64 baseRevision
    2: required i64 revision
    3: required list<i32> removedLines
    4: required list<string> addedLines
    5: required list<i32> addedAt
    6: required i64 resultHash
}

// A call for an instance that another instance must answer: cancel or explain a request.
struct Control {
    1: required i64 sequence
    2: required string verb
    3: required string argument
    4: optional bool isAnswer = false
    5: optional string payload
}

// Asks the owner of a key's partition to claim it, or to record how a granted request ended.
struct ClaimCall {
    1: required i64 requestLife
    2: required i64 requestCounter
    3: required binary key
    4: required i64 fingerprint
    5: required i64 budgetMicros // Time left until the deadline when the message was sent.
    6: optional i32 settledAs
    7: optional binary answer
}

// The owner's answer to a ClaimCall.
struct ClaimReply {
    1: required i64 requestLife
    2: required i64 requestCounter
    3: required i32 verdict
    4: optional i32 recordedState
    5: optional binary recordedAnswer
    6: optional bool isSettled = false
}

struct HeaderField {
    1: required string name
    2: required string value
}

// Asks another instance to ask some shards of a search next to their servers and to merge the parts.
struct SearchCall {
    1: required i64 sequence
    2: required i64 tableVersion // Of the configuration that the caller was matched with.
    3: required string route
    4: required string attemptId
    5: required string method
    6: required string target
    7: required list<HeaderField> headers
    8: required binary body
    9: required i64 budgetMicros // Time left until the deadline when the message was sent.
    10: required i64 answerMicros // Time left until the answer should leave, likewise.
    11: required list<string> shards
    12: optional i64 topRecords = 0
    13: optional i32 maxRuns = 0 // Servers that one shard may be sent to. Without these two the call is declined.
    14: optional i64 content = 0 // Fingerprint of the request's content and caller; 0 when unknown.
    15: optional string team // Of the caller, with its priority.
    16: optional i32 teamRank = 0
}

// Taken, declined or cancelled: see SearchNoteKind.
struct SearchNote {
    1: required i64 sequence
    2: required i32 kind
    3: optional list<i32> positions // In the call's shards.
}

// The end of a search that was taken.
struct SearchReply {
    1: required i64 sequence
    2: required i32 kind
    3: required list<string> signatures
    4: required i32 missingShards
    5: required binary body
    6: optional i64 retryAfterMicros = 0
    7: optional string reason
    8: required list<i32> coveredShards // Positions in the call's shards, one for each signature.
    9: required list<i32> runs // Servers that each of the call's shards may have run on.
}

struct StoreObject {
    1: required string key
    2: required i64 version
    3: required binary value
}

// Asks for all objects below the prefix that the receiver knows; answered by StoreNews from revision 0.
struct StoreStateRequest {
    1: required string prefix
}

// Changes in the platform's store that the sender saw, for those that have seen all up to fromRevision.
struct StoreNews {
    1: required string prefix
    2: required i64 fromRevision
    3: required i64 revision
    4: required i64 ageMicros // How long ago that was all there was.
    5: optional list<StoreObject> changed
    6: optional list<string> removed
    7: optional i64 confirmedAtMicros = 0 // On the sender's clock, by which a receiver that knows that clock judges the age.
    8: optional i64 fromEpoch = 0 // Of fromRevision; an epoch of the store ends when it comes back from an older copy.
    9: optional i64 epoch = 0 // Of revision.
    10: optional bool isComparison = false // Made by comparing two lists: for those that know exactly fromRevision.
}

struct QuotaWish {
    1: required string team
    2: required i32 requests
    3: optional bool isForKeeper = false // An instance that only stands by gives no grant.
}

// Asks the instance that keeps the quotas of these teams for permits.
struct QuotaCall {
    1: required i64 sequence
    2: required list<QuotaWish> wishes
}

struct QuotaGrant {
    1: required string team
    2: required i32 permits
    3: required i64 lifetimeMicros
    4: required i64 retryAfterMicros
}

struct QuotaReply {
    1: required i64 sequence
    2: required list<QuotaGrant> grants
}

// A role for the quota of a team.
struct TeamRole {
    1: required string team
    2: required i32 role // See QuotaRole.
}

// Claims roles by a list of the instances.
struct RoleClaim {
    1: required i64 sequence
    2: required i64 epoch // Of the list.
    3: required i64 revision // Of the list.
    4: required i64 membersHash // Of the instances in the list.
    5: required list<TeamRole> roles
}

struct RoleAnswer {
    1: required TeamRole role
    2: required i32 verdict // See RoleVerdict.
    3: optional double creditLevel = 0
    4: optional i32 creditOutstanding = 0
    5: optional list<string> claimants // Others that have claimed the role lately.
}

struct RoleClaimReply {
    1: required i64 sequence
    2: required list<RoleAnswer> answers
}

// The sender's process is about to end.
struct RoleResignation {
    1: required i64 life
    2: optional bool hasEnded = false // It ends now, and the store doesn't know it.
}

// Asks for the receiver's clock.
struct ClockCall {
    1: required i64 sentAtMicros
}

struct ClockReply {
    1: required i64 sentAtMicros
    2: required i64 nowMicros
}

// The one message of a frame. Exactly one body field is set; a receiver skips fields it does not know.
struct Envelope {
    1: required i32 protocolVersion
    2: optional Hello hello
    3: optional WorkOrder work
    4: optional LegKey cancel
    5: optional list<LegResult> results
    6: optional list<ServerState> servers
    7: optional CrashNews crash
    8: optional Gossip gossip
    9: optional RuleRequest ruleRequest
    10: optional RuleDelta ruleDelta
    11: optional Control control
    12: optional ClaimCall claimCall
    13: optional ClaimReply claimReply
    14: optional SearchCall searchCall
    15: optional SearchNote searchNote
    16: optional SearchReply searchReply
    17: optional StoreNews storeNews
    18: optional StoreStateRequest storeStateRequest
    19: optional QuotaCall quotaCall
    20: optional QuotaReply quotaReply
    21: optional ClockCall clockCall
    22: optional ClockReply clockReply
    23: optional i64 sentAtMicros // When the frame was written, on the sender's clock.
    24: optional i64 echoSentAtMicros // sentAtMicros of the latest frame that the sender has read from the receiver.
    25: optional i64 echoReadAtMicros // When it read that frame, on the sender's clock.
    26: optional RoleClaim roleClaim
    27: optional RoleClaimReply roleClaimReply
    28: optional RoleResignation roleResignation
}
