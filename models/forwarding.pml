/*
 * Claims that an instance (ASKER, the forwarding instance) forwards to the owner of a partition, and groups
 * of claims in one write.
 *
 * Engine 0 is the owner's, engine 1 the forwarding instance's own. Token 1 (key 0) belongs to the forwarding
 * instance, whose call carries it to the owner; token 2 (key 0, a resend of the same request) is claimed at
 * either engine, at any time. With GROUP all three tokens are claimed directly at the engines, at any time, and
 * token 3 has its own key.
 * Calls, responses, settlements and confirmations may be lost, late or duplicated. The link may break and
 * deadlines may pass at any moment. The owner may restart without memory. No step has a duration, so any process
 * may pause anywhere. claims.pml models the content of the head's log and segments; here a head is a version and
 * the holder of each key. docs/DESIGN-claims.md names the function behind each step.
 *
 * Bounds (set with -D): FAULTS refused, lost and delayed store calls, DUPS duplicated messages, RESTARTS of
 * the owner. A MUT_ define removes one rule; Spin must then find an error.
 */
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef DUPS
#define DUPS 0
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

#ifdef GROUP
#define NK 2
#define LAST 3
#else
#define NK 1
#define LAST 2
#endif
#ifdef GROUP
#define FORWARDED(t, e) 0
#define LOCAL (BIT(1) | BIT(2) | BIT(3))
#else
#define LOCAL BIT(2)
#define FORWARDED(t, e) ((t) == 1 && (e) == OWNER)
#endif
#define KEY(t) ((t) / 3)
#define BIT(t) (1 << (t))
#define HAS(mask, t) (((mask) & BIT(t)) != 0)
#define OWNER 0
#define ASKER 1

#define OK 1
#define CONFLICT 2
#define LOST 3
#define UNAVAILABLE 4

/* State of the forwarded claim at the forwarding instance. */
#define UNASKED 0
#define ASKED 1
#define REFUSED 2    /* refused at the deadline or a broken link; the owner may still decide */
#define RELEASED 3   /* released at the own engine; a late grant is still recognised and released */
#define FORGOTTEN 4

typedef Head {
	byte version;
	byte holder[NK];
	bit done[NK]
};

Head store;
Head delayed;            /* its version is the condition */
bit isDelayed;

byte waiting[2];         /* tokens whose claims wait at an engine */
byte landed[2];          /* tokens in a write whose response was lost and that may have taken effect */
byte inFlight[2];
byte releases[2];        /* tokens whose release is not written yet; outcomes likewise */
byte outcomes[2];
bit busy[2];

byte asked;
byte started;            /* tokens whose request has arrived */
byte unsettled;          /* RELEASE or OUTCOME that the owner has not confirmed */
#define RELEASE 1
#define OUTCOME 2

bit arrived;             /* the call reached the owner */

/* Messages in flight. */
bit callOut, grantOut, refusalOut, releaseOut, outcomeOut, confirmOut;

byte runs[NK];
bit isRefused[LAST + 1];
byte faults, dups, restarts;
bit forgot;              /* a restart of the owner lost a record, or a call was duplicated: a key may stay held */

/* CallerApi::onClaimDecided, settleClaim: the backend server runs the request, or refuses it before running it. */
inline runAt(t, e) {
	assert(!isRefused[t]);
	if
	:: runs[KEY(t)]++;
		assert(runs[KEY(t)] <= 1);
		outcomes[e] = outcomes[e] | BIT(t)
	:: assert(runs[KEY(t)] == 0); /* told "not run" */
		releases[e] = releases[e] | BIT(t)
	fi
}

/* ClaimPartition::decide: the grant goes to the forwarding instance as a message, or to the caller at this instance. */
inline granted(t) {
	waiting[e] = waiting[e] & ~BIT(t);
	landed[e] = landed[e] & ~BIT(t);
	if
	:: FORWARDED(t, e) -> grantOut = 1
	:: else -> runAt(t, e)
	fi
}

inline refused(t) {
	waiting[e] = waiting[e] & ~BIT(t);
	landed[e] = landed[e] & ~BIT(t);
	inFlight[e] = inFlight[e] & ~BIT(t);
	if
	:: FORWARDED(t, e) -> refusalOut = 1
	:: else -> isRefused[t] = 1
	fi
}

/* ClaimPartition::giveUp. */
inline giveUp(t) {
	if
	:: HAS(inFlight[e] | landed[e], t) -> releases[e] = releases[e] | BIT(t)
	:: else
	fi;
	refused(t)
}

/* ClaimPartition::refuseAll. */
inline refuseAll() {
	if :: HAS(waiting[e], 1) -> giveUp(1) :: else fi;
	if :: HAS(waiting[e], 2) -> giveUp(2) :: else fi;
#ifdef GROUP
	if :: HAS(waiting[e], 3) -> giveUp(3) :: else fi;
#endif
	skip
}

inline copyHead(to, from) {
	to.version = from.version;
	to.holder[0] = from.holder[0]; to.done[0] = from.done[0];
#ifdef GROUP
	to.holder[1] = from.holder[1]; to.done[1] = from.done[1];
#endif
	skip
}

inline clearHead(head) {
	head.version = 0;
	head.holder[0] = 0; head.done[0] = 0;
#ifdef GROUP
	head.holder[1] = 0; head.done[1] = 0;
#endif
	skip
}

/* The store performs a conditional write. */
inline storeWrite(written) {
	if
	:: store.version == written.version ->
		copyHead(store, written);
		store.version++;
		reply = OK
	:: else -> reply = CONFLICT
	fi
}

/* afterRecord for a token's unwritten outcome or release. */
inline applyUnwritten(t) {
	if
	:: HAS(sentOutcomes, t) && next.holder[KEY(t)] == t -> next.done[KEY(t)] = 1
	:: else
	fi;
	if
	:: HAS(sentReleases, t) && next.holder[KEY(t)] == t -> next.holder[KEY(t)] = 0; next.done[KEY(t)] = 0
	:: else
	fi
}

/* ClaimPartition::evaluate. */
inline judge(t) {
	if
	:: !HAS(waiting[e], t) -> skip
#ifndef MUT_GROUP_REPEATS_KEY
	:: HAS(waiting[e], t) && HAS(keys, KEY(t)) -> skip /* the claim waits for the result of the first claim of its key */
	:: HAS(waiting[e], t) && !HAS(keys, KEY(t)) ->
#else
	:: HAS(waiting[e], t) && HAS(keys, KEY(t)) -> inFlight[e] = inFlight[e] | BIT(t)
	:: HAS(waiting[e], t) && !HAS(keys, KEY(t)) ->
#endif
		if
		:: next.holder[KEY(t)] == 0 ->
			next.holder[KEY(t)] = t;
			keys = keys | BIT(KEY(t));
			inFlight[e] = inFlight[e] | BIT(t)
		:: next.holder[KEY(t)] == t ->
			granted(t);
#ifdef MUT_GROUP_BY_ONE
			oneLanded = 1
#endif
		:: else -> /* InProgress or AlreadyDone */
			assert(!next.done[KEY(t)] || runs[KEY(t)] == 1);
			waiting[e] = waiting[e] & ~BIT(t);
			landed[e] = landed[e] & ~BIT(t);
			if
			:: FORWARDED(t, e) -> refusalOut = 1
			:: else
			fi
		fi
	fi
}

/* Grants a claim whose write got the response `Ok` in time. */
inline grantInFlight(t) {
	if
	:: HAS(inFlight[e], t) -> granted(t)
	:: else
	fi
}

inline clearBatch() {
	inFlight[e] = 0;
	sentReleases = 0; sentOutcomes = 0; reply = 0; keys = 0;
	clearHead(next)
}

proctype Engine(byte e) {
	Head known;
	Head next;
	bit isKnown;
	byte reply, sentReleases, sentOutcomes, keys;
#ifdef MUT_GROUP_BY_ONE
	bit oneLanded;
#endif

end:	if
	:: atomic { (waiting[e] | releases[e] | outcomes[e]) != 0 -> busy[e] = 1 }
	:: atomic { e == OWNER && restarts < RESTARTS && (isKnown || waiting[e] != 0) -> goto restart }
	fi;
	if
	:: isKnown -> goto gather
	:: !isKnown
	fi;

	/* ClaimPartition::readHead. */
	if
	:: d_step { true -> copyHead(known, store); isKnown = 1 }
	:: atomic { faults < FAULTS -> faults++; refuseAll(); busy[e] = 0; goto end }
	:: atomic { waiting[e] != 0 -> refuseAll(); busy[e] = 0; goto end } /* the deadlines pass */
	:: atomic { e == OWNER && restarts < RESTARTS -> goto restart }
	fi;

gather:	atomic { /* ClaimPartition::buildBatch, writeHead. */
		copyHead(next, known);
		/* Records added while the write is in flight stay for the next write. */
		sentReleases = releases[e]; releases[e] = 0;
		sentOutcomes = outcomes[e]; outcomes[e] = 0;
		applyUnwritten(1); applyUnwritten(2);
#ifdef GROUP
		applyUnwritten(3);
#endif
		judge(1); judge(2);
#ifdef GROUP
		judge(3);
#endif
#ifdef MUT_GROUP_BY_ONE
		/* One claim of the group was found in the head, and the instance takes all claims of the group for granted. */
		if
		:: oneLanded && HAS(inFlight[e], 1) -> inFlight[e] = inFlight[e] & ~BIT(1); granted(1)
		:: else
		fi;
		if
		:: oneLanded && HAS(inFlight[e], 2) -> inFlight[e] = inFlight[e] & ~BIT(2); granted(2)
		:: else
		fi;
		if
		:: oneLanded && HAS(inFlight[e], 3) -> inFlight[e] = inFlight[e] & ~BIT(3); granted(3)
		:: else
		fi;
		oneLanded = 0;
#endif
		if
		:: (inFlight[e] | sentReleases | sentOutcomes) == 0 -> clearBatch(); busy[e] = 0; goto end
		:: else
		fi
	};

	if
	:: d_step { true -> storeWrite(next) }
	:: d_step { faults < FAULTS -> faults++; storeWrite(next); reply = LOST }
	:: d_step { faults < FAULTS && !isDelayed -> faults++; isDelayed = 1; copyHead(delayed, next); reply = LOST }
	:: d_step { faults < FAULTS -> faults++; reply = UNAVAILABLE }
	fi;

	/* ClaimPartition::expire: deadlines may pass and the owner may restart while the response is in flight. */
	if
	:: true
	:: atomic { HAS(inFlight[e], 1) -> giveUp(1) }
	:: atomic { HAS(inFlight[e], 2) -> giveUp(2) }
#ifdef GROUP
	:: atomic { HAS(inFlight[e], 3) -> giveUp(3) }
#endif
	:: atomic { e == OWNER && restarts < RESTARTS -> goto restart }
	fi;

	atomic { /* ClaimPartition::onHeadWriteEnded. */
		if
		:: reply == OK ->
			copyHead(known, next);
			known.version++;
			grantInFlight(1); grantInFlight(2);
#ifdef GROUP
			grantInFlight(3);
#endif
			skip
		:: else -> isKnown = 0; clearHead(known);
			releases[e] = releases[e] | sentReleases;
			outcomes[e] = outcomes[e] | sentOutcomes
		fi;
		if
		:: reply == OK || reply == CONFLICT
		:: reply == LOST ->
#ifdef MUT_GROUP_SKIP_READ_BACK
			/* The instance assumes that the write had no effect. */
			inFlight[e] = 0;
			refuseAll()
#else
			landed[e] = landed[e] | inFlight[e]
#endif
		:: reply == UNAVAILABLE -> inFlight[e] = 0; refuseAll()
		fi;
		clearBatch();
		busy[e] = 0;
		goto end
	};

restart: /* A new process without memory. Its callers lose their connections; the forwarding instance sees the broken link. */
	atomic {
		restarts++;
		if
		:: (releases[e] | outcomes[e] | sentReleases | sentOutcomes) != 0 || (waiting[e] & LOCAL) != 0 -> forgot = 1
		:: else
		fi;
		waiting[e] = 0; landed[e] = 0; releases[e] = 0; outcomes[e] = 0;
		isKnown = 0; clearHead(known);
		clearBatch();
		busy[e] = 0;
		goto end
	}
}

/* ClaimsRole::settle. */
inline settleAtOwner(kind) {
	unsettled = kind;
	if
	:: kind == RELEASE -> releaseOut = 1
	:: else -> outcomeOut = 1
	fi
}

/* ClaimsRole::settleLocally. */
inline settleHere(kind) {
	if
	:: kind == RELEASE -> releases[ASKER] = releases[ASKER] | BIT(1)
	:: else -> outcomes[ASKER] = outcomes[ASKER] | BIT(1)
	fi
}

inline dispatchForwarded() {
	assert(!isRefused[1]);
	if
	:: runs[0]++; assert(runs[0] <= 1); settleAtOwner(OUTCOME)
	:: settleAtOwner(RELEASE)
	fi
}

/* ClaimsRole::onResponse. */
inline onGrant() {
	if
	:: asked == ASKED -> asked = FORGOTTEN; dispatchForwarded()
#ifdef MUT_LATE_GRANT_RUNS
	:: asked == REFUSED || asked == RELEASED -> asked = FORGOTTEN; dispatchForwarded()
#else
	:: asked == REFUSED || asked == RELEASED -> asked = FORGOTTEN; settleAtOwner(RELEASE)
#endif
#ifdef MUT_EVERY_GRANT_RUNS
	:: asked == FORGOTTEN -> dispatchForwarded()
#else
	:: asked == FORGOTTEN -> skip
#endif
	fi
}

#define OWNER_DECIDED (!callOut && !HAS(waiting[OWNER], 1))

proctype Asker() {
#ifdef GROUP
	asked = FORGOTTEN;
#endif
end:	do
	:: atomic { asked == UNASKED -> /* ClaimsRole::forward */
		asked = ASKED;
		started = started | BIT(1);
		callOut = 1 }
	:: atomic { asked == ASKED || asked == REFUSED || asked == RELEASED -> /* onUndelivered: no byte of the call was sent */
		if
#ifdef MUT_UNDELIVERED_AFTER_BYTES
		:: callOut || arrived -> callOut = 0;
#else
		:: callOut && !arrived -> callOut = 0;
#endif
			if
			:: asked == ASKED -> waiting[ASKER] = waiting[ASKER] | BIT(1)
			:: else
			fi;
			asked = FORGOTTEN
		:: asked == ASKED -> /* refuse, after onLinkLost or at the deadline */
#ifdef MUT_CLAIM_ELSEWHERE
			asked = FORGOTTEN; waiting[ASKER] = waiting[ASKER] | BIT(1)
#else
			asked = REFUSED;
			isRefused[1] = 1
#endif
		:: else
		fi }
	:: atomic { asked == REFUSED -> /* checkDeadlines: decisionMargin has passed since the deadline */
#ifndef MUT_NO_RELEASE_AFTER_REFUSAL
		settleHere(RELEASE);
#endif
#ifdef MUT_FORGET_AT_MARGIN
		asked = FORGOTTEN
#else
		asked = RELEASED
#endif
		}
	:: atomic { asked == RELEASED && OWNER_DECIDED && !grantOut && !refusalOut -> /* checkDeadlines: lateGrantMemory has passed */
#if !defined(MUT_NO_SECOND_RELEASE) && !defined(MUT_NO_RELEASE_AFTER_REFUSAL)
		settleHere(RELEASE);
#endif
		asked = FORGOTTEN }
	:: atomic { unsettled != 0 -> /* checkDeadlines: settleTimeout has passed; or onLinkLost, onUndelivered */
		settleHere(unsettled);
		unsettled = 0 }
	od
}

/* Messages arrive at any time, in any order, once, twice or never. */
inline arrive(message) {
	if
	:: message = 0
	:: dups < DUPS -> dups++
	fi
}

proctype Link() {
end:	do
	:: atomic { callOut ->
		if
		:: callOut = 0
		:: dups < DUPS -> dups++; forgot = 1 /* A duplicated call may claim a released key again. */
		fi;
		arrived = 1;
		waiting[OWNER] = waiting[OWNER] | BIT(1) }
	:: atomic { grantOut -> arrive(grantOut); onGrant() }
	:: atomic { refusalOut -> arrive(refusalOut);
		if
		:: asked == ASKED -> asked = FORGOTTEN; isRefused[1] = 1
		:: asked == REFUSED || asked == RELEASED -> asked = FORGOTTEN
		:: else
		fi }
	:: atomic { releaseOut -> arrive(releaseOut); releases[OWNER] = releases[OWNER] | BIT(1); confirmOut = 1 }
	:: atomic { outcomeOut -> arrive(outcomeOut); outcomes[OWNER] = outcomes[OWNER] | BIT(1); confirmOut = 1 }
	:: atomic { confirmOut -> arrive(confirmOut); unsettled = 0 }
	:: atomic { callOut -> callOut = 0 }
	:: atomic { grantOut -> grantOut = 0 }
	:: atomic { refusalOut -> refusalOut = 0 }
	:: atomic { releaseOut -> releaseOut = 0 }
	:: atomic { outcomeOut -> outcomeOut = 0 }
	:: atomic { confirmOut -> confirmOut = 0 }
	od
}

proctype Store() {
	byte reply;
end:	do
	:: d_step { isDelayed -> storeWrite(delayed); isDelayed = 0; clearHead(delayed); reply = 0 }
	:: d_step { isDelayed -> isDelayed = 0; clearHead(delayed) }
	od
}

/* Other callers, at any time. */
proctype Callers() {
#ifdef GROUP
	atomic { waiting[OWNER] = waiting[OWNER] | BIT(1); started = started | BIT(1) };
#endif
	if
	:: atomic { waiting[OWNER] = waiting[OWNER] | BIT(2); started = started | BIT(2) }
	:: atomic { waiting[ASKER] = waiting[ASKER] | BIT(2); started = started | BIT(2) }
	fi
#ifdef GROUP
	;
	atomic { waiting[OWNER] = waiting[OWNER] | BIT(3); started = started | BIT(3) }
#endif
}

#define NO_MESSAGE (!callOut && !grantOut && !refusalOut && !releaseOut && !outcomeOut && !confirmOut)
#define NO_WORK(e) (!busy[e] && (waiting[e] | releases[e] | outcomes[e]) == 0)
#define ALL_STARTED (started == (1 << (LAST + 1)) - 2)

init {
	atomic { run Engine(OWNER); run Engine(ASKER); run Asker(); run Link(); run Store(); run Callers() };
	d_step {
		ALL_STARTED && asked == FORGOTTEN && unsettled == 0 && NO_MESSAGE && !isDelayed && NO_WORK(OWNER) && NO_WORK(ASKER) ->
		/* All claims are settled: no refused request holds a key, and a request that ran has an outcome. */
		assert(forgot || runs[0] == 1 || store.holder[0] == 0);
		assert(forgot || runs[0] == 0 || (store.holder[0] != 0 && store.done[0]));
#ifdef GROUP
		assert(forgot || runs[1] == 1 || store.holder[1] == 0);
		assert(forgot || runs[1] == 0 || (store.holder[1] != 0 && store.done[1]));
#endif
		skip
	}
}
