/*
 * The claim protocol of docs/design.md, section 6 "Claims", for one bucket and
 * one key: two routers that were given the same order, each with its own claim
 * token (1 and 2), two syncds that may both own the bucket, and the key-value
 * service with a ring of R slots. See spec/README.md for what is left out.
 *
 * Variants remove one protection each (-DVARIANT=n) and must fail:
 */
#define CLAIM_AFTER_SEND 1	/* the router sends before it has a claim */
#define LEASE 2			/* a lease in place of compare-and-swap */
#define BLIND_RETRY 3		/* a lost reply counts as failure; n+1 next */
#define LATE_NOT_RUN 4		/* a timeout after the send reports "not run" */
#define NO_HORIZON 5		/* overwriting a slot keeps the old horizon */
#define EARLY_GRANT 6		/* granted before the swap is acknowledged */
#define NO_RECHECK 7		/* no new decision after a conflict */

#ifndef VARIANT
#define VARIANT 0
#endif
#ifndef FAULTS
#define FAULTS 2	/* lost replies, late writes, outages, crashes */
#endif
#ifndef FILL
#define FILL 2		/* batches without an entry for the key */
#endif
#define R 2
#ifndef TRIES
#define TRIES 1		/* 2: the claim is also sent to the other syncd */
#endif
#ifndef MAXSEQ
#define MAXSEQ 5	/* batches; beyond it syncds reply "unavailable" */
#endif
#define PREVIOUS(n) ((n) > R -> (n) - R : 0)

mtype = { NONE, CLAIM, NOTRUN, GRANTED, DUPLICATE, EXPIRED, UNAVAILABLE,
	OK, CONFLICT, AMBIGUOUS };

/* A slot. The sequence number also represents the version. */
typedef batch {
	byte seq;
	mtype kind = NONE;
	byte tok;
	bool hor;	/* the expiry of the key is not after the horizon */
	byte id
};

batch kv[R];
batch late;		/* a write delayed in the network */
byte faults = FAULTS;
byte fill = FILL;
bool expired;		/* the claim window of the key has ended */
byte lease;

chan req[2] = [1] of { mtype, byte };
chan rep[3] = [2] of { mtype };
bool lost[3];		/* the link failed while it held the request */

byte sends;		/* runs at the backend server, which ignores fencing */
bool sent[3], not_run[3], ended[3];

#define STORE(n) kv[n % R].seq = n; kv[n % R].kind = kind; \
	kv[n % R].tok = tok; kv[n % R].hor = newhor; kv[n % R].id = id

/* A late write takes effect if its version still matches, or never. */
active proctype network()
{
end:	do
	:: d_step { late.seq != 0 ->
		if
		:: kv[late.seq % R].seq == PREVIOUS(late.seq) ->
			kv[late.seq % R].seq = late.seq;
			kv[late.seq % R].kind = late.kind;
			kv[late.seq % R].tok = late.tok;
			kv[late.seq % R].hor = late.hor;
			kv[late.seq % R].id = late.id
		:: else
		fi;
		late.seq = 0; late.kind = NONE; late.tok = 0;
		late.hor = false; late.id = 0 }
	od
}

#if FILL > 0
/*
 * Time passes. Owners see it at once; the timeouts of routers are modelled
 * separately.
 */
active proctype clock()
{
	expired = true
}
#endif

#define SEND sends++; sent[r] = true; assert(sends <= 1); \
	assert(!(sent[r] && not_run[r]))

#ifdef LIVE
#define LOST lost[tok] = true
#else
#define LOST skip
#endif

/* A router with its own claim token r. */
proctype router(byte r)
{
	byte tries, asked;
	mtype res = NONE;

#if VARIANT == CLAIM_AFTER_SEND
	atomic { SEND };
#endif
	/* Either syncd may be considered the owner; both are alike. */
	if
	:: asked = 0
	:: r == 2 -> asked = 1
	fi;
ask:	atomic { req[asked]!CLAIM, r; tries++ };
	if
	:: atomic { rep[r]?res ->
		if
		:: res == GRANTED && VARIANT != CLAIM_AFTER_SEND -> SEND;
			if
			:: VARIANT == LATE_NOT_RUN -> goto abandon
			:: skip	/* "run", or "unknown" without a response */
			fi
		:: res == GRANTED -> goto abandon	/* after the deadline */
		:: res == DUPLICATE || res == EXPIRED	/* "unknown" */
		:: res == UNAVAILABLE -> goto abandon
		fi;
		goto fin }
#ifdef LIVE
	:: atomic { lost[r] -> lost[r] = false; asked = 1 - asked; goto ask }
	:: atomic { faults > 0 -> faults--; goto abandon }
#else
	:: atomic { tries < TRIES -> asked = 1 - asked; goto ask }
	:: goto abandon		/* the deadline passes */
#endif
	fi;
abandon: atomic {
		ended[r] = true;
		not_run[r] = VARIANT != CLAIM_AFTER_SEND;
		assert(!(sent[r] && not_run[r]));
		if
		:: req[0]!NOTRUN, r
		:: req[1]!NOTRUN, r
		:: skip		/* the report is lost */
		fi
	};
fin:	atomic {
		ended[r] = true; tries = 0; asked = 0;
		do
		:: rep[r]?res
		:: empty(rep[r]) -> break
		od;
		res = NONE
	}
}

/* Applies the batch of slot s to memory; batches are applied in order. */
#define ABSORB(b, s) \
	if \
	:: owner != 0 && owner_slot == s -> owner = 0 \
	:: else \
	fi; \
	hor = hor || b.hor; \
	has[s] = (b.kind != NONE); \
	if \
	:: b.kind == CLAIM -> owner = b.tok; owner_slot = s \
	:: b.kind == NOTRUN -> dead[b.tok] = true; \
		if \
		:: owner == b.tok -> owner = 0 \
		:: else \
		fi \
	:: else \
	fi

#define FORGET n = 0; owner = 0; owner_slot = 0; hor = false; \
	has[0] = false; has[1] = false; dead[1] = false; dead[2] = false

#define REPLY(x) \
	if \
	:: kind == CLAIM && !ended[tok] -> rep[tok]!x \
	:: kind != CLAIM || ended[tok] \
	fi

/* A syncd; a pause is modelled as a long time between two of its steps. */
proctype syncd(byte s)
{
	byte n = 1, owner, owner_slot, tok, id = 2 + s;
	batch x;
	bool hor, newhor, has[R], dead[3], conflict;
	mtype kind = NONE;

end_idle:
	if
	:: atomic { req[s]?kind, tok -> goto decide }
	:: atomic { fill > 0 -> fill--; kind = NONE; tok = 0; goto decide }
	:: atomic { faults > 0 -> faults--; goto crash }
	fi;
decide:	atomic {
		conflict = false;
		newhor = hor || (VARIANT != NO_HORIZON && has[n % R]);
		if
		:: kind == CLAIM && dead[tok] -> REPLY(DUPLICATE); goto idle
		:: kind == CLAIM && !dead[tok] && owner == tok ->
			REPLY(GRANTED); goto idle
		:: kind == CLAIM && !dead[tok] && owner == 3 - tok ->
			REPLY(DUPLICATE); goto idle
		:: kind == CLAIM && !dead[tok] && owner == 0 && newhor &&
		    (hor || expired) -> REPLY(EXPIRED); goto idle
		:: kind == NOTRUN && dead[tok] -> goto idle
		:: else
		fi;
		if		/* the ring is full, or MAXSEQ is reached */
		:: n > MAXSEQ || (has[n % R] && !expired) ->
			REPLY(UNAVAILABLE); goto idle
		:: else
		fi;
#if VARIANT == EARLY_GRANT
		REPLY(GRANTED);
#endif
		goto put
	};
put:
#if VARIANT == LEASE
	atomic {		/* a pause may follow */
		if
		:: lease == 0 -> lease = s + 1; goto restart
		:: lease == 2 - s -> REPLY(UNAVAILABLE); goto idle
		:: lease == s + 1
		fi
	};
#endif
	atomic {		/* the service replies, or the reply is lost */
		if
#if VARIANT == LEASE
		:: STORE(n); goto own
#else
		:: kv[n % R].seq == PREVIOUS(n) -> STORE(n); goto own
		:: kv[n % R].seq != PREVIOUS(n) -> conflict = true
#endif
		:: faults > 0 && kv[n % R].seq == PREVIOUS(n) -> faults--;
			STORE(n);
			if
			:: skip
			:: goto crash
			fi
		:: faults > 0 -> faults--;	/* nothing was written */
		:: faults > 0 && late.seq == 0 -> faults--; late.seq = n;
			late.kind = kind; late.tok = tok; late.hor = newhor;
			late.id = id;
			if
			:: skip
			:: goto crash
			fi
		fi
	};
#if VARIANT == BLIND_RETRY
	if
	:: atomic { !conflict -> n++; goto decide }
	:: conflict
	fi;
#endif
	atomic {		/* read the slot back */
		if
		:: kv[n % R].seq < n -> goto put
		:: kv[n % R].seq == n && kv[n % R].id == id -> goto own
		:: kv[n % R].seq == n && kv[n % R].id != id ->
			ABSORB(kv[n % R], n % R); n++;
#if VARIANT == NO_RECHECK
			goto put
#else
			goto decide
#endif
		:: kv[n % R].seq > n -> goto restart
		:: faults > 0 -> faults--; goto crash
		fi
	};
own:	atomic { ABSORB(kv[n % R], n % R); n++; REPLY(GRANTED); goto idle };
crash:	atomic {		/* a new incarnation; its links are lost */
		if
		:: kind == CLAIM -> LOST
		:: kind != CLAIM
		fi;
		do
		:: req[s]?kind, tok ->
			if
			:: kind == CLAIM -> LOST
			:: kind != CLAIM
			fi
		:: empty(req[s]) -> break
		od;
		kind = NONE; tok = 0; id = id + 2; goto restart
	};
restart: atomic {		/* memory is empty: read the ring by slots */
		FORGET; newhor = false; conflict = false;
		x.seq = kv[0].seq; x.kind = kv[0].kind;
		x.tok = kv[0].tok; x.hor = kv[0].hor
	};
	atomic {
		if		/* contiguous; otherwise read again */
		:: kv[1].seq == x.seq + 1 -> ABSORB(x, 0); ABSORB(kv[1], 1);
			n = kv[1].seq + 1
		:: x.seq == kv[1].seq + 1 -> ABSORB(kv[1], 1); ABSORB(x, 0);
			n = x.seq + 1
		:: x.seq + kv[1].seq == 0 -> n = 1
		:: else -> goto restart
		fi;
		x.seq = 0; x.kind = NONE; x.tok = 0; x.hor = false;
		if
		:: kind != NONE -> goto decide
		:: kind == NONE
		fi
	};
idle:	atomic { kind = NONE; tok = 0; newhor = false; conflict = false;
		goto end_idle }
}

#if VARIANT == LEASE
/* A lease expires independently of what its holder assumes. */
active proctype leases()
{
	lease != 0; lease = 0
}
#endif

init {
	atomic { run syncd(0); run syncd(1); run router(1); run router(2) }
}

#ifdef LIVE
ltl every_request_ends { <> (ended[1] && ended[2]) }
#endif
