/*
 * Claims of idempotency keys in one partition of the store.
 *
 * The store holds a head (version, number of the next segment, log of records) and one create-only
 * segment. Instances claim keys by conditional writes of the head. The store may refuse a call or lose its
 * response, and a write may take effect at any later time. Instances refuse claims at their deadlines, restart
 * without memory and pause at any step (no step has a duration). docs/DESIGN-claims.md names the function
 * behind each step.
 *
 * Bounds (set with -D): NI instances, NK keys, ATT requests per instance, FAULTS refused, lost and delayed
 * calls in total, RESTARTS in total, SLOTS delayed writes at the same time. SEAL: heads may be sealed.
 * A MUT_ define removes one rule of the protocol; Spin must then find an error.
 */
#ifndef NI
#define NI 2
#endif
#ifndef NK
#define NK 1
#endif
#ifndef ATT
#define ATT 1
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef SLOTS
#define SLOTS 2
#endif

#define TOKENS (NI * ATT + 1)  /* token 0: none */
#define RECORDS ((2 * NI + FAULTS) * ATT) /* per request a claim and an outcome or release; a lost write repeats the latter */

#define CLAIM 0
#define OUTCOME 1
#define RELEASE 2
#define REC(token, kind) ((token) * 4 + (kind))
#define TOKEN(rec) ((rec) / 4)
#define KIND(rec) ((rec) % 4)

#define OK 1
#define CONFLICT 2
#define LOST 3
#define UNAVAILABLE 4

typedef Log {
	byte size;
	byte rec[RECORDS]
};
typedef Head {
	byte version;
	byte next; /* 1: the log includes the segment */
	Log log
};
typedef Delayed {
	bit used;
	byte condition;
	Head head
};

Head store;
Log segment;
bit segmentExists;
Delayed net[SLOTS];

byte keyOf[TOKENS];
byte runs[NK];
bit isRefused[TOKENS];
byte faults, restarts, finished;
bit lostMemory; /* a restart may have lost a release that was not written yet */

inline copyLog(to, from) {
	to.size = from.size;
	i = 0;
	do
	:: i < RECORDS -> to.rec[i] = from.rec[i]; i++
	:: else -> break
	od
}

inline copyHead(to, from) {
	to.version = from.version;
	to.next = from.next;
	copyLog(to.log, from.log)
}

inline clearLog(list) {
	list.size = 0;
	i = 0;
	do
	:: i < RECORDS -> list.rec[i] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline clearHead(whole) {
	whole.version = 0;
	whole.next = 0;
	clearLog(whole.log)
}

inline append(list, record) {
	assert(list.size < RECORDS);
	list.rec[list.size] = record;
	list.size++
}

/* afterRecord: applies one record to the key's state (holder, done). */
inline apply(record) {
	if
	:: keyOf[TOKEN(record)] == key && record != 0 ->
		if
		:: KIND(record) == CLAIM && holder == 0 -> holder = TOKEN(record); done = 0
#ifdef MUT_RELEASE_WITHOUT_CONDITION
		:: KIND(record) == RELEASE -> holder = 0; done = 0
#else
		:: KIND(record) == RELEASE && holder == TOKEN(record) -> holder = 0; done = 0
#endif
		:: KIND(record) == OUTCOME && holder == TOKEN(record) -> done = 1
		:: else
		fi
	:: else
	fi
}

inline foldLog(list) {
	i = 0;
	do
	:: i < list.size -> apply(list.rec[i]); i++
	:: else -> break
	od
}

/* ClaimPartition::stateOf: the key's state according to a head and its segment. */
inline fold(whole) {
	holder = 0;
	done = 0;
#ifndef MUT_FORGET_SEGMENT
	if
	:: whole.next == 1 -> foldLog(segment)
	:: else
	fi;
#endif
	foldLog(whole.log)
}

/* The store performs a conditional write. */
inline storeWrite(expected, written) {
	if
	:: store.version == expected ->
		copyHead(store, written);
		store.version = expected + 1;
		reply = OK
	:: else -> reply = CONFLICT
	fi
}

proctype Network() {
	byte i, reply;
	byte s;
end:	do
	:: atomic { net[0].used -> s = 0; goto land }
#if SLOTS > 1
	:: atomic { net[1].used -> s = 1; goto land }
#endif
	:: finished == NI -> break
	od;
	goto drain;
land:	skip;
	d_step {
		storeWrite(net[s].condition, net[s].head);
		net[s].used = 0;
		net[s].condition = 0;
		clearHead(net[s].head);
		reply = 0; s = 0
	};
	goto end;
drain:	/* A write still in flight takes effect now or never. */
	if
	:: net[0].used -> s = 0; goto land
#if SLOTS > 1
	:: net[1].used -> s = 1; goto land
#endif
	:: else
	fi;
	finished++
}

inline forgetHead() {
	isKnown = 0;
	clearHead(known);
	clearHead(next)
}

/* The caller is told "not run": no request with this key may have run. */
inline tellNotRun(ofKey) {
	assert(runs[ofKey] == 0)
}

/* ClaimPartition::giveUp: the caller is told "unknown"; a claim whose write may still take effect is released. */
inline giveUp(mayLand) {
	isRefused[token] = 1;
#ifdef MUT_REFUSED_TOLD_NOT_RUN
	tellNotRun(key);
#endif
	if
	:: mayLand -> append(unwritten, REC(token, RELEASE))
	:: else
	fi;
	token = 0;
	key = 0;
	landed = 0
}

/* The claim is granted: the entry dispatches the request, or its backend server refuses the request before running it. */
inline grant() {
	assert(!isRefused[token]);
	if
	:: runs[keyOf[token]]++;
		assert(runs[keyOf[token]] <= 1);
		append(unwritten, REC(token, OUTCOME))
	:: tellNotRun(key);
		append(unwritten, REC(token, RELEASE))
	fi;
	token = 0;
	key = 0;
	landed = 0
}

proctype Instance(byte id) {
	Head known;
	Head next;
	Log unwritten;
	bit isKnown, landed, done, sealing;
#ifdef MUT_TRUST_LEASE
	bit hasLease;
#endif
	byte token, key, holder, reply, attempts, inLife, i, sent, cut;

idle:	if
	:: atomic { attempts < ATT ->
		attempts++;
		inLife++;
#ifdef MUT_TOKEN_WITHOUT_LIFE
		token = id * ATT + inLife;
#else
		token = id * ATT + attempts;
#endif
		if
		:: key = 0
#if NK > 1
		:: key = 1
#endif
		fi;
		keyOf[token] = key }
	:: unwritten.size > 0
	:: atomic { attempts == ATT && unwritten.size == 0 -> finished++; goto stop }
	:: atomic { restarts < RESTARTS && attempts > 0 -> goto restart }
	fi;

again:	if
	:: !isKnown -> goto read
	:: isKnown -> goto judge
	fi;

read:	/* ClaimPartition::readHead, onHeadRead. After a lost response the head is read again, which changes no state. */
	if
	:: d_step { true -> copyHead(known, store); isKnown = 1; i = 0 }
	:: d_step { faults < FAULTS -> faults++ }; /* refused */
		if
		:: atomic { token != 0 -> giveUp(landed) }
		:: else
		fi;
		goto idle
	:: atomic { token != 0 -> giveUp(landed); goto idle } /* deadline */
	:: atomic { restarts < RESTARTS -> goto restart }
	fi;

judge:	skip; /* ClaimPartition::buildBatch, evaluate. */
	d_step {
		holder = 0; done = 0;
		if
		:: token != 0 -> fold(known); foldLog(unwritten)
		:: else
		fi;
		i = 0
	};
	if
	:: atomic { token != 0 && holder == token -> done = 0; holder = 0; grant(); goto idle }
	:: atomic { token != 0 && holder != 0 && holder != token ->
		/* AlreadyDone or InProgress. */
		assert(!done || runs[key] == 1);
		done = 0; holder = 0; token = 0; key = 0; landed = 0; goto idle }
	:: atomic { token == 0 || holder == 0 -> holder = 0; done = 0 }
	fi;

#ifdef SEAL
	/* ClaimPartition::createSegment, headStartsWithSealedSegment. */
	if
	:: known.next == 0 && known.log.size > 0 ->
		d_step {
#ifdef MUT_SEGMENT_OVERWRITTEN
			copyLog(segment, known.log); segmentExists = 1;
#else
			if
			:: !segmentExists -> copyLog(segment, known.log); segmentExists = 1
			:: else
			fi;
#endif
			/* A segment that is not a prefix of the head's log belongs to another head. */
			sealing = (segment.size <= known.log.size);
			i = 0;
			do
			:: i < segment.size && sealing ->
				sealing = (segment.rec[i] == known.log.rec[i]);
				i++
			:: else -> break
			od;
			cut = (sealing -> segment.size : 0);
			i = 0
		};
		if
		:: atomic { !sealing -> forgetHead(); goto again }
		:: else
		fi
	:: true
	fi;
#endif

	/* ClaimPartition::writeHead. */
	d_step {
		next.version = known.version;
		next.next = known.next;
		if
		:: sealing ->
			next.next = 1;
#ifdef MUT_SEAL_WHOLE
			cut = known.log.size
#endif
		:: else
		fi;
		next.log.size = known.log.size - cut;
		i = 0;
		do
		:: i < RECORDS ->
			if
			:: i < next.log.size -> next.log.rec[i] = known.log.rec[i + cut]
			:: else -> next.log.rec[i] = 0
			fi;
			i++
		:: else -> break
		od;
		sealing = 0;
		cut = 0;
		sent = unwritten.size;
#ifdef MUT_RELEASE_LEFT_OUT
		if
		:: token != 0 -> sent = 0
		:: else
		fi;
#endif
		i = 0;
		do
		:: i < sent -> append(next.log, unwritten.rec[i]); i++
		:: else -> break
		od;
		if
		:: token != 0 -> append(next.log, REC(token, CLAIM))
		:: else
		fi;
		i = 0
	};
#ifdef MUT_TRUST_LEASE
	/* The instance took the lease earlier; the lease may have expired since. */
	if
	:: hasLease = 1
	:: hasLease = 0
	fi;
#endif
	if
	:: d_step { true ->
#ifdef MUT_UNCONDITIONAL_WRITE
		next.version = store.version;
#endif
#ifdef MUT_TRUST_LEASE
		next.version = (hasLease -> store.version : next.version);
#endif
		storeWrite(next.version, next); i = 0 }
	:: d_step { faults < FAULTS -> faults++; storeWrite(next.version, next); reply = LOST; i = 0 }
	:: d_step { faults < FAULTS && !net[0].used ->
		faults++;
		net[0].used = 1; net[0].condition = next.version; copyHead(net[0].head, next);
		reply = LOST; i = 0 }
#if SLOTS > 1
	:: d_step { faults < FAULTS && net[0].used && !net[1].used ->
		faults++;
		net[1].used = 1; net[1].condition = next.version; copyHead(net[1].head, next);
		reply = LOST; i = 0 }
#endif
	:: d_step { faults < FAULTS -> faults++; reply = UNAVAILABLE }
	fi;

	/* Deadlines may pass and the instance may restart while the response is in flight. */
	if
	:: true
#ifndef MUT_GRANT_AFTER_DEADLINE
#ifdef MUT_NO_RELEASE_IN_FLIGHT
	:: atomic { token != 0 -> giveUp(landed) }
#else
	:: atomic { token != 0 -> giveUp(1) }
#endif
#else
	:: atomic { token != 0 -> isRefused[token] = 1 }
#endif
	:: atomic { restarts < RESTARTS -> goto restart }
	fi;

	/* ClaimPartition::onHeadWriteEnded. */
	if
	:: atomic { reply == OK ->
		copyHead(known, next);
		known.version++;
		clearHead(next);
		/* Records added since the write was sent remain unwritten. */
		i = 0;
		do
		:: i < RECORDS ->
			if
			:: i + sent < RECORDS -> unwritten.rec[i] = unwritten.rec[i + sent]
			:: else -> unwritten.rec[i] = 0
			fi;
			i++
		:: else -> break
		od;
		unwritten.size = unwritten.size - sent;
		sent = 0;
		reply = 0;
		i = 0;
		if
		:: token != 0 -> grant()
		:: else
		fi;
		goto idle }
	:: d_step { reply == CONFLICT -> reply = 0; sent = 0; forgetHead() }
	:: atomic { reply == LOST ->
		reply = 0; sent = 0; forgetHead();
		if
		:: token != 0 ->
#ifdef MUT_DISPATCH_WHILE_UNSURE
			grant(); goto idle
#else
#ifdef MUT_SKIP_READ_BACK
			/* The instance assumes that the write had no effect. */
			isRefused[token] = 1; token = 0; goto idle
#else
#ifndef MUT_NO_RELEASE_AFTER_LOST
			landed = 1
#else
			skip
#endif
#endif
#endif
		:: else
		fi }
	:: atomic { reply == UNAVAILABLE ->
		reply = 0; sent = 0; forgetHead();
		if
		:: token != 0 -> giveUp(landed)
		:: else
		fi;
		goto idle }
	fi;
	if
	:: token != 0 || unwritten.size > 0 -> goto again
	:: else -> goto idle
	fi;

restart:
	atomic {
		restarts++;
		lostMemory = 1;
		landed = 0; done = 0; sealing = 0; token = 0; holder = 0; reply = 0; inLife = 0; sent = 0;
		clearLog(unwritten);
		forgetHead();
		key = 0;
		i = 0;
		goto idle
	};
stop:	skip
}

init {
	byte i, key, holder;
	bit done;
	atomic {
		i = 0;
		do
		:: i < NI -> run Instance(i); i++
		:: else -> break
		od;
		run Network()
	};
	finished == NI + 1;
#ifndef ONLY_RUNS
	/* All claims are settled: no refused request holds a key, unless a restart lost its release. */
	d_step {
		key = 0;
		do
		:: key < NK ->
			fold(store);
			assert(lostMemory || runs[key] == 1 || holder == 0);
			assert(lostMemory || runs[key] == 0 || (holder != 0 && done));
			key++
		:: else -> break
		od
	}
#endif
}
