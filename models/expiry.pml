/*
 * Expiry of idempotency keys: a key must be kept until LIFETIME has passed since its claim was sent.
 *
 * Time is the store's clock, in steps of 1. Two instances estimate it from the `Date` of the store's responses,
 * which may be DELAY old on arrival. Claims are written to the head and sealed into a segment; a segment is removed
 * when an instance considers its newest claim expired. The key of a request may be claimed at any time, any number
 * of times. docs/DESIGN-claims.md names the function behind each step. A MUT_ define removes one rule; Spin must
 * then find an error.
 */
#define LIFETIME 2
#define DELAY 1
#define END 7
#define UNKNOWN 255 /* stamp of a claim made before the instance received a time from the store */
#define NONE 254

byte now;
byte earliest[2];       /* StoreClock::earliestAt: lower bound of the store's time */
byte latest[2];         /* StoreClock::latestAt: upper bound of the store's time */
bit isTold[2];          /* this instance has received a time from the store */

/* Key 0 belongs to the request; key 1 to another request, whose claims share the head and the segment. */
byte stamp[2];          /* time in the key's claim, in the head or the segment; NONE: no claim */
bit isSealed[2];        /* the claim is in the segment */
byte claimedAt;         /* time of the last claim of key 0; NONE: never */

/* The time passes, and responses of the store arrive; the store sent each at any time during the call. */
proctype Clock() {
end:	do
	:: atomic { now < END ->
		now++;
		/* Between responses, the process's own clock advances both bounds. */
		earliest[0]++; latest[0]++; earliest[1]++; latest[1]++ }
	:: atomic { isTold[0] = 1;
		if
		:: earliest[0] = now; latest[0] = now
		:: now >= DELAY -> earliest[0] = now - DELAY; latest[0] = now
		:: now >= DELAY -> earliest[0] = now - DELAY; latest[0] = now + DELAY
		:: earliest[0] = now; latest[0] = now + DELAY
		fi }
	:: atomic { isTold[1] = 1;
		if
		:: earliest[1] = now; latest[1] = now
		:: now >= DELAY -> earliest[1] = now - DELAY; latest[1] = now + DELAY
		fi }
	od
}

inline stampOf(e) {
#ifdef MUT_UNTOLD_TIME_IS_ZERO
	stampNow = (isTold[e] -> latest[e] : 0)
#else
#ifdef MUT_STAMP_BY_EARLIEST
	stampNow = (isTold[e] -> earliest[e] : UNKNOWN)
#else
	stampNow = (isTold[e] -> latest[e] : UNKNOWN)
#endif
#endif
}

/* The lifetime starts when the claim's write is sent; a write that takes effect later is kept longer. */
proctype Instance(byte e) {
	byte stampNow, newest;
end:	do
	:: atomic { stamp[0] == NONE -> /* ClaimPartition::buildBatch */
		/* The guarantee: a resend within the lifetime finds the claim of the first send. */
		assert(claimedAt == NONE || now > claimedAt + LIFETIME);
		stampOf(e);
		stamp[0] = stampNow; isSealed[0] = 0;
		claimedAt = now;
		stampNow = 0 }
	:: atomic { stamp[1] == NONE -> stampOf(e); stamp[1] = stampNow; isSealed[1] = 0; stampNow = 0 }
	:: atomic { (stamp[0] != NONE && !isSealed[0]) || (stamp[1] != NONE && !isSealed[1]) -> /* onSegmentSealed */
		isSealed[0] = (stamp[0] != NONE); isSealed[1] = (stamp[1] != NONE) }
	:: atomic { isSealed[0] || isSealed[1] -> /* SegmentSummary::of, firstUnexpired */
		newest = 0;
#ifdef MUT_OLDEST_CLAIM
		newest = UNKNOWN;
		if :: isSealed[0] && stamp[0] < newest -> newest = stamp[0] :: else fi;
		if :: isSealed[1] && stamp[1] < newest -> newest = stamp[1] :: else fi;
#else
		if :: isSealed[0] && stamp[0] > newest -> newest = stamp[0] :: else fi;
		if :: isSealed[1] && stamp[1] > newest -> newest = stamp[1] :: else fi;
#endif
		if
#ifdef MUT_SHORT_LIFETIME
		:: isTold[e] && newest != UNKNOWN && newest + LIFETIME - 1 < earliest[e] ->
#else
#ifdef MUT_EXPIRE_BY_LATEST
		:: isTold[e] && newest != UNKNOWN && newest + LIFETIME < latest[e] ->
#else
		:: isTold[e] && newest != UNKNOWN && newest + LIFETIME < earliest[e] ->
#endif
#endif
			if :: isSealed[0] -> stamp[0] = NONE; isSealed[0] = 0 :: else fi;
			if :: isSealed[1] -> stamp[1] = NONE; isSealed[1] = 0 :: else fi
		:: else
		fi;
		newest = 0 }
	od
}

init {
	atomic { stamp[0] = NONE; stamp[1] = NONE; claimedAt = NONE; run Clock(); run Instance(0); run Instance(1) }
}
