/*
 * The configuration of docs/design.md, section 6 "Configuration": the manifest
 * in the key-value service, two operators that edit from the same base, and
 * NODES syncds that distribute it among themselves. A revision r holds the
 * change at[r]. See spec/README.md for what is left out.
 *
 * Variants remove one protection each (-DVARIANT=n) and must fail:
 */
#define APPLY_ANY 1		/* a node applies any offer of a peer */
#define NO_COMPARE 2		/* the manifest is written without comparison */
#define BLIND_RETRY 3		/* a lost reply is not resolved by change id */
#define ANY_BASE 4		/* a delta is applied to a different base */
#define LAST_ID_ONLY 5		/* the manifest keeps only its own change id */
#define PLAIN_CONFLICT 6	/* a conflict after a lost reply is final */

#ifndef VARIANT
#define VARIANT 0
#endif
#ifndef FAULTS
#define FAULTS 3	/* lost replies, late writes, outages, restarts */
#endif
#define NODES 3
#define OPERATORS 2
#define MAXREV 3

byte faults = FAULTS;

/* The service: revision of the manifest and the change of each revision. */
byte rev;
byte at[MAXREV + 1];
byte late, late_base;	/* a swap delayed in the network */

/* The nodes: revision in force (0: none) and the change that it holds. */
byte have[NODES], holds[NODES];
byte told[OPERATORS + 1];	/* revision that an operator was told */
byte ended;

/* A message in flight: a delta or a full configuration, possibly old. */
bool want[NODES];	/* the node asked for a full configuration */
chan offer[NODES] = [1] of { byte, byte, byte };

#define WRITE(change) rev++; at[rev] = change

/* A delayed swap takes effect if the manifest is unchanged, or never. */
active proctype network()
{
end:	do
	:: d_step { late != 0 ->
		if
		:: late_base == rev || VARIANT == NO_COMPARE ->
			rev = late_base + 1; at[rev] = late
		:: else
		fi;
		late = 0; late_base = 0 }
	od
}

/*
 * An operator with the change c, based on revision 0. The syncd that it
 * called swaps the manifest. On a conflict the operator reads the current
 * revision and edits again, once.
 */
proctype operator(byte c)
{
	byte base, tries, found;
	bool doubt;		/* a reply was lost */

again:	tries++;
put:	atomic {
		if
		:: rev == base -> WRITE(c); told[c] = rev; goto done
		:: VARIANT == NO_COMPARE && rev != base ->
			rev = base + 1; at[rev] = c; told[c] = rev; goto done
		:: VARIANT != NO_COMPARE && rev != base &&
		    (!doubt || VARIANT == PLAIN_CONFLICT) -> goto refused
		:: VARIANT != NO_COMPARE && rev != base && doubt &&
		    VARIANT != PLAIN_CONFLICT
		:: faults > 0 && rev == base -> faults--; WRITE(c)
		:: faults > 0 -> faults--	/* nothing was written */
		:: faults > 0 && late == 0 -> faults--; late = c;
			late_base = base
		fi;
		doubt = true
	};
	/* The reply was lost: read the manifest and look for the change id. */
	atomic {
#if VARIANT == BLIND_RETRY
		base = rev; goto put
#else
		found = (VARIANT == LAST_ID_ONLY && rev > 0 -> rev : 1);
		do
		:: found <= rev && at[found] != c -> found++
		:: found > rev || at[found] == c -> break
		od;
		if
		:: found <= rev -> told[c] = found; goto done
		:: found > rev && rev == base -> found = 0; goto put
		:: found > rev && rev != base -> found = 0; goto refused
		fi
#endif
	};
refused: atomic {
		base = rev; doubt = false;
		if
		:: tries < 2 -> goto again
		:: tries >= 2
		fi
	};
done:	atomic {
		/* Two operators with the same base are never both accepted. */
		assert(c != 2 || told[1] == 0 || told[1] != told[2]);
		assert(c != 1 || told[2] == 0 || told[1] != told[2]);
		ended++; base = 0; tries = 0; found = 0; doubt = false
	}
}

/* A node applies a configuration only if its revision is higher. */
#define TAKE(i, r, c) \
	if \
	:: r > have[i] || (VARIANT == APPLY_ANY && r > 0) -> \
		assert(have[i] == 0 || r > have[i]); \
		have[i] = r; holds[i] = c \
	:: r <= have[i] && (VARIANT != APPLY_ANY || r == 0) \
	fi

/* Heartbeats tell which peer is behind. */
#define SEND_TO(to) \
	have[to] < have[i] && nfull(offer[to]) -> \
	if \
	:: !want[to] -> offer[to]!have[i], have[i] - 1, holds[i] \
	:: offer[to]!have[i], 0, holds[i]; want[to] = false \
	fi

/* A syncd; a frozen syncd takes no step for a long time. */
proctype node(byte i)
{
	byte r, since, c;

end:	do
	/* A watcher reads the service; a stale read equals an old offer. */
	:: atomic { i == 0 && rev > have[i] -> TAKE(i, rev, at[rev]) }
	/* It sends its configuration, as a delta to the one before or full. */
	:: atomic { SEND_TO((i + 1) % NODES) }
	:: atomic { SEND_TO((i + 2) % NODES) }
	/* An old state, sent before the receiver applied a newer one. */
	:: atomic { faults > 0 && have[i] > 0 && nfull(offer[(i + 1) % NODES])
	    -> faults--; offer[(i + 1) % NODES]!have[i], 0, holds[i] }
	:: atomic { offer[i]?r, since, c ->
		if
		:: since == 0 || since == have[i] || VARIANT == ANY_BASE ->
			if
			:: since != 0 && since != have[i] && r > have[i] ->
				/* parts of revisions in between are missing */
				assert(false)
			:: else
			fi;
			TAKE(i, r, c)
		:: else -> want[i] = true	/* it requests a full one */
		fi;
		r = 0; since = 0; c = 0 }
	/* A restart with empty memory. */
	:: atomic { faults > 0 && have[i] > 0 -> faults--;
		have[i] = 0; holds[i] = 0; want[i] = false;
		if
		:: offer[i]?r, since, c
		:: empty(offer[i])
		fi;
		r = 0; since = 0; c = 0 }
	od
}

init {
	atomic {
		run node(0); run node(1); run node(2);
		run operator(1); run operator(2)
	}
}

/*
 * After the faults stop, every node ends with the revision of the service and
 * its change, and every accepted change is contained exactly once.
 */
#define SAME (have[0] == rev && have[1] == rev && have[2] == rev && \
	holds[0] == at[rev] && holds[1] == at[rev] && holds[2] == at[rev])
#define KEPT ((told[1] == 0 || at[told[1]] == 1) && \
	(told[2] == 0 || at[told[2]] == 2))
#define ONCE (!(at[1] != 0 && at[1] == at[2]) && \
	!(at[2] != 0 && at[2] == at[3]) && !(at[1] != 0 && at[1] == at[3]))

#ifdef LIVE
ltl ends_the_same { <> [] (ended == OPERATORS && SAME && KEPT) }
#else
ltl accepted_is_kept { [] (KEPT && ONCE) }
#endif
