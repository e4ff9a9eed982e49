/* Rules: two operators apply rule files to a store by conditional writes whose responses may be lost, and two
 * instances read the accepted revision from the store or from each other.
 *
 * The two halves share only `current`, so each is checked separately: APPLY models the operators, the
 * store and late writes; SPREAD models the instances and a store whose revision rises at any moment.
 *
 * models/checks.list names the checks: safety of both, liveness (LIVENESS) of SPREAD, and mutants.
 *
 * Bounds: 2 operators with 3 tries of the write each; 2 instances; 2 replacements of an instance; 2 outages. */

#define OPERATORS 2
#define INSTANCES 2
#define MAX_TRIES 3
#define RESTARTS 2
#define OUTAGES 2
#define REVISIONS 4
#define NOBODY 255

mtype = { Running, Accepted, Conflict, Refused, Unknown };

/* The store. The version of rules/current is the revision; 0: no rules are stored. */
bool up = true;
byte current = 0;
byte author[REVISIONS] = NOBODY;  /* Operator that wrote each revision. */
byte history[REVISIONS] = NOBODY; /* Author of each revision as stored in rules/history/N. */

/* Verdict that each operator got, and the revision on which its file is based. */
mtype told[OPERATORS] = Running;
byte startedFrom[OPERATORS];
bool taken[OPERATORS];   /* A write of this operator took effect. */
bool replaced[REVISIONS]; /* A write based on this revision took effect. */

/* Writes without a response that may still take effect. */
bool pending[OPERATORS];
byte pendingBase[OPERATORS];

byte inForce[INSTANCES];

/* A conditional write takes effect: the platform's PUT with if-version. */
inline takeEffect(who, expected)
{
    assert(told[who] != Conflict && told[who] != Refused);
    assert(!replaced[startedFrom[who]]);
    assert(startedFrom[who] == current);
    replaced[startedFrom[who]] = true;
    taken[who] = true;
    current = current + 1;
    author[current] = who;
}

inline conditionHolds(who, expected, result)
{
#ifdef MUT_UNCONDITIONAL
    result = (current + 1 < REVISIONS);
#else
    result = (current == expected);
#endif
}

inline tell(who, outcome)
{
    assert(outcome != Accepted || taken[who]);
    assert(outcome != Conflict || !taken[who]);
    assert(outcome != Refused || !taken[who]);
    told[who] = outcome;
}

/* RuleWriter (src/rules/rule_writer.cpp). */
proctype Operator(byte me)
{
    byte base;
    byte tries = 0;
    bool lost = false;
    bool holds;
    byte seen;
    byte keeper;

    /* The operator's file is based on the revision current at this moment. */
    d_step { base = current; startedFrom[me] = base; }

readCurrent: /* onCurrent */
    atomic {
        up;
        if
        :: current != base ->
#ifdef MUT_REBASE
            base = current;
#else
            tell(me, Conflict);
            goto done;
#endif
        :: else
        fi;
    }

keepHistory: /* Step::KeepHistory: a create-only write */
#ifndef MUT_NO_HISTORY
    atomic {
        up;
        if
        :: base > 0 && history[base] == NOBODY -> history[base] = author[base];
        :: else
        fi;
    }
#endif

writeCurrent: /* Step::WriteCurrent */
    if
    :: tries == MAX_TRIES ->
        if
        :: lost -> tell(me, Unknown);
#ifdef MUT_REFUSED_AFTER_LOST
        :: lost -> tell(me, Refused);
#endif
        :: !lost -> tell(me, Refused);
        fi;
        goto done;
    :: else -> tries++;
    fi;
    if
    :: atomic { /* The response arrives. */
        up;
        conditionHolds(me, base, holds);
        if
        :: holds -> takeEffect(me, base); tell(me, Accepted); goto done;
        :: else -> goto readBack;
        fi;
       }
    :: atomic { /* The write takes effect and its response is lost. */
        up;
        conditionHolds(me, base, holds);
        if
        :: holds -> takeEffect(me, base);
        :: else
        fi;
        lost = true;
       }
    :: atomic { /* The write may take effect later, or never. */
        !pending[me];
        pending[me] = true;
        pendingBase[me] = base;
        lost = true;
       }
    :: atomic { !up -> skip; } goto writeCurrent; /* The store refuses the write in an outage. */
    fi;
#ifdef MUT_LOST_IS_CONFLICT
    atomic { tell(me, Conflict); goto done; }
#endif
#ifdef MUT_LOST_IS_ACCEPTED
    atomic { tell(me, Accepted); goto done; }
#endif

readBack: /* onReadBack */
    atomic {
        up;
        seen = current;
        if
        :: seen == base -> goto writeCurrent;
        :: seen != base && author[seen] == me -> tell(me, Accepted); goto done;
        :: seen == base + 1 && author[seen] != me ->
#ifdef MUT_REBASE
            base = seen; goto writeCurrent;
#else
            tell(me, Conflict); goto done;
#endif
        :: else
        fi;
    }

readHistory: /* onHistory */
    atomic {
        up;
        keeper = history[base + 1];
        if
        :: keeper == me -> tell(me, Accepted);
        :: else -> tell(me, Conflict);
        fi;
    }
done:
    skip;
}

/* A write without a response takes effect late, if its condition still holds, or is lost. */
proctype LateWrite(byte who)
{
    bool holds;
end:
    do
    :: atomic {
        up && pending[who];
        pending[who] = false;
        conditionHolds(who, pendingBase[who], holds);
        if
        :: holds -> takeEffect(who, pendingBase[who]);
        :: else
        fi;
       }
    :: atomic { pending[who]; pending[who] = false; }
    od;
}

/* RuleReplicator::accept (src/rules/rule_replicator.cpp). */
inline accept(instance, offer)
{
#ifdef MUT_LOWER
    if
    :: offer != 0 && offer != inForce[instance] ->
#else
    if
    :: offer > inForce[instance] ->
#endif
        assert(offer > inForce[instance]);
        inForce[instance] = offer;
    :: else
    fi;
}

/* RulesRole::onBatch and readStore: instance 0 watches the store; instance 1 reads the store only while no rules
 * are in force on instance 1. Another revision may be accepted between the read and its acceptance. */
proctype FromStore(byte me)
{
    byte offer;
#ifdef MUT_READ_ONCE
    byte reads = 0;
#endif
end:
    do
    :: atomic {
        up && current > inForce[me] && (me == 0 || inForce[me] == 0);
#ifdef MUT_READ_ONCE
        reads < 1; reads++;
#endif
        offer = current;
       }
       atomic { accept(me, offer); offer = 0; }
    od;
}

/* RuleReplicator::onPeerRevision, onRequest, onDelta: the revision in force on the peer is accepted later. */
proctype FromPeer(byte me)
{
    byte offer;
end:
    do
#ifndef MUT_NO_PEERS
    :: atomic { inForce[1 - me] > inForce[me]; offer = inForce[1 - me]; }
       atomic { accept(me, offer); offer = 0; }
#else
    :: false
#endif
    od;
}

/* An instance is replaced by one without rules. */
proctype Replacement()
{
    byte n = 0;
    do
    :: n < RESTARTS -> atomic { n++; if :: inForce[0] = 0; :: inForce[1] = 0; fi; }
    :: break
    od;
}

proctype Outages()
{
    byte n = 0;
    do
    :: n < OUTAGES -> n++; up = false; up = true;
    :: break
    od;
}

#ifdef SPREAD
/* Takes steps when no other process can: in a run that ends, Spin finds no acceptance cycle under weak fairness. */
proctype Idle()
{
end:
    do
    :: true -> true
    od;
}

/* Rules are accepted, as modelled by APPLY: the revision rises. */
proctype Accepting()
{
    do
    :: current < REVISIONS - 1 -> atomic { up; current = current + 1; }
    :: break
    od;
}
#endif

init
{
    atomic {
#ifdef APPLY
        run Operator(0);
        run Operator(1);
        run LateWrite(0);
        run LateWrite(1);
#else
        run Accepting();
        run FromStore(0);
        run FromStore(1);
        run FromPeer(0);
        run FromPeer(1);
        run Replacement();
        run Idle();
#endif
        run Outages();
    }
}

#ifdef LIVENESS
/* The last accepted revision is eventually in force on all instances and stays in force. */
ltl spread { <>[] (inForce[0] == current && inForce[1] == current) }
#endif
