/* Rules: two operators apply rule files to a store with conditional writes whose answers may be
 * lost, and two instances take the accepted revision from the store or from each other.
 *
 * The two halves meet only in `current`, so each is checked by itself: APPLY has the operators, the
 * store and late writes; SPREAD has the instances, with a store whose revision rises at any moment.
 *
 * models/checks.list names the checks: safety of both, liveness (LIVENESS) of SPREAD, and mutants.
 *
 * Bounds: 2 operators with 3 tries of the write each; 2 instances; 2 replacements of one; 2 outages. */

#define OPERATORS 2
#define INSTANCES 2
#define MAX_TRIES 3
#define RESTARTS 2
#define OUTAGES 2
#define REVISIONS 4
#define NOBODY 255

mtype = { Running, Accepted, Conflict, Refused, Unknown };

/* The store. The version of rules/current is its revision; 0: there is none. */
bool up = true;
byte current = 0;
byte author[REVISIONS] = NOBODY;  /* Who wrote each revision. */
byte history[REVISIONS] = NOBODY; /* rules/history/N as it was kept. */

/* What operators were told, and the revision that each started from. */
mtype told[OPERATORS] = Running;
byte startedFrom[OPERATORS];
bool taken[OPERATORS];   /* The store took this operator's text. */
bool replaced[REVISIONS]; /* A write started from this revision took effect. */

/* A write whose answer was lost and that may still take effect. */
bool pending[OPERATORS];
byte pendingBase[OPERATORS];

byte inForce[INSTANCES];

/* The conditional write takes effect. Function: the platform's PUT with if-version. */
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

    /* The operator's file was made from this revision. */
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

keepHistory: /* Step::KeepHistory: create only */
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
    :: atomic { /* Answered. */
        up;
        conditionHolds(me, base, holds);
        if
        :: holds -> takeEffect(me, base); tell(me, Accepted); goto done;
        :: else -> goto readBack;
        fi;
       }
    :: atomic { /* It takes effect and the answer is lost. */
        up;
        conditionHolds(me, base, holds);
        if
        :: holds -> takeEffect(me, base);
        :: else
        fi;
        lost = true;
       }
    :: atomic { /* It may take effect later, or never. */
        !pending[me];
        pending[me] = true;
        pendingBase[me] = base;
        lost = true;
       }
    :: atomic { !up -> skip; } goto writeCurrent; /* Refused in an outage. */
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

/* A write without an answer takes effect after all, if its condition still holds. */
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

/* RuleKeeper::accept (src/rules/rule_keeper.cpp). */
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

/* RulesRole::onBatch and readStore: instance 0 watches the store, the other reads it only while it
 * has no rules. Between read and acceptance others may be faster. */
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

/* RuleKeeper::onPeerRevision, onRequest, onDelta: what a peer has in force, taken a while later. */
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

/* An instance is replaced: it keeps nothing. */
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
/* Keeps the system running when nobody else can move: with weak fairness Spin finds no acceptance
 * cycle in a run that ends. */
proctype Idle()
{
end:
    do
    :: true -> true
    od;
}

/* Rules are accepted, as APPLY shows: the revision rises. */
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
/* Whatever revision was accepted last ends up in force everywhere, for good. */
ltl spread { <>[] (inForce[0] == current && inForce[1] == current) }
#endif
