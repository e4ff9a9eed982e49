/*
 * When an idempotency key may be forgotten: not before LIFETIME has passed since its claim was sent.
 *
 * Time is the store's and goes up by 1. Two instances estimate it from the `Date` of the store's answers,
 * which may be DELAY old when they arrive. Claims lie in the head, are sealed into a segment, and a segment goes when an instance
 * takes its newest claim for expired. The key of a request is asked for at any time, again and again.
 * docs/DESIGN-claims.md names the function behind each step. A MUT_ define takes one rule away.
 */
#define LIFETIME 2
#define DELAY 1
#define END 7
#define UNKNOWN 255 /* the store told no time */
#define NONE 254

byte now;
byte earliest[2];       /* StoreClock::earliestAt: the store's time is not before this */
byte latest[2];         /* StoreClock::latestAt: nor after this */
bit isTold[2];          /* the store told this instance a time */

/* Key 0 is the request's; key 1 is another's, whose claims share head and segment. */
byte stamp[2];          /* of the claim in the head or the segment; NONE: no claim */
bit isSealed[2];        /* it lies in the segment */
byte claimedAt;         /* when key 0 was claimed last; NONE: never */

/* An answer of the store, sent at any time between the call's start and its arrival. */
proctype Clock() {
end:	do
	:: atomic { now < END ->
		now++;
		/* The process's own clock carries both estimates on. */
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

/* The promise is counted from when the claim's write is sent; that it lands later gives it more time. */
proctype Instance(byte e) {
	byte stampNow, newest;
end:	do
	:: atomic { stamp[0] == NONE -> /* ClaimPartition::gather */
		/* The promise: a resend within the lifetime is recognised. */
		assert(claimedAt == NONE || now > claimedAt + LIFETIME);
		stampOf(e);
		stamp[0] = stampNow; isSealed[0] = 0;
		claimedAt = now;
		stampNow = 0 }
	:: atomic { stamp[1] == NONE -> stampOf(e); stamp[1] = stampNow; isSealed[1] = 0; stampNow = 0 }
	:: atomic { (stamp[0] != NONE && !isSealed[0]) || (stamp[1] != NONE && !isSealed[1]) -> /* onSealed */
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
