/*
 * At most once: a request with a key is executed at most once by nodes without
 * persistent state, and the outcome "not executed" is always correct.
 *
 * There are one key and two nodes. A node may crash and restart as a new incarnation
 * with empty memory. A caller makes up to three attempts, at any node, and may abandon
 * an attempt at any time. The platform's table has one row: the claim. A write may take
 * effect although its response is lost; the node then retries.
 *
 * A frozen process needs no separate action: a process may pause between any two steps
 * for any time.
 *
 * Mechanism: the first claim written is permanent and names one incarnation. The memory
 * of that incarnation (begun) lets the key start once.
 *
 * Variants, each of which must fail:
 *   LEASE    the owner is determined by a lease that may expire; the holder checks the
 *            lease and then sends
 *   NOLEDGER the owner does not record the keys that it has begun
 *   NOTRY    a refusal considers only the current attempt, not earlier ones
 */
#define NODES 2
#define TRIES 3
#define DEATHS 2

byte claim = 0;              /* row of the table: an incarnation, 0 for none */
byte incarnation[NODES];     /* current incarnation of each node */
bool begun[NODES];           /* whether the node has begun the key */
byte lastIncarnation = NODES;
byte runs = 0;               /* number of executions of the key at the upstream */
byte sent = 0;               /* number of times the key was sent to the upstream */
byte deaths = 0;
byte current = 0;            /* the attempt that the caller is waiting for */

/* "Not executed" is reported only to the attempt that the caller is waiting for. */
inline sayNotRun() {
	atomic { assert(try != current || sent == 0) }
}

/* One attempt: a node processes a request for the key. */
proctype attempt(byte node; byte try) {
	bool first = (try == 1);
	byte me = incarnation[node];
	byte owner = 0;
	byte home;

	/* Determine the owner of the key. During a store outage the request may be refused. */
	if
	:: true ->
#ifdef LEASE
		/* acquire the lease if it is free or expired; it may expire at any time */
		atomic { if :: claim == 0 -> claim = me :: true -> claim = me :: true fi; owner = claim }
#else
		do
		:: atomic { claim == 0 -> claim = me; if :: owner = me :: skip /* response lost */ fi }
		:: claim != 0 -> owner = claim; break
		od
#endif
	:: true ->
		/* refused: no response from the store in time */
#ifdef NOTRY
		sayNotRun()
#else
		if
		:: first -> sayNotRun()   /* no earlier attempt */
		:: else -> skip                 /* "unknown" */
		fi
#endif
		goto done
	fi;

	/* Forward to the owner: this node, the other node, or an incarnation that no longer exists. */
	if
	:: owner == incarnation[0] -> home = 0
	:: owner == incarnation[1] -> home = 1
	:: else ->
		if
		:: first && owner != me -> sayNotRun()   /* the owner no longer exists */
		:: else -> skip                                /* "unknown" */
		fi;
		goto done
	fi;

	/* The memory of the owner decides. The owner may have been replaced in the
	   meantime; then no process may begin the key. */
#ifdef NOLEDGER
	atomic { incarnation[home] == owner -> sent++ }
#else
#ifdef LEASE
	atomic { (incarnation[home] == owner && !begun[home]) -> begun[home] = true }
	sent++;
#else
	if
	:: atomic { (incarnation[home] == owner && !begun[home]) -> begun[home] = true; sent++ }
	:: (incarnation[home] == owner && begun[home]) -> goto done   /* attach */
	:: incarnation[home] != owner -> goto done                    /* "unknown" */
	fi;
#endif
#endif
	runs++;
	assert(runs <= 1);
done:	skip
}

/* A node crashes and restarts. Messages that it has sent may still arrive. */
active proctype reaper() {
	byte i;
	do
	:: deaths < DEATHS ->
		atomic {
			if :: i = 0 :: i = 1 fi;
			lastIncarnation++;
			incarnation[i] = lastIncarnation;
			begun[i] = false;
			deaths++
		}
	:: break
	od
}

/* The caller may retry early: an abandoned attempt may still be in progress. */
init {
	byte try = 0;
	byte node;
	atomic { incarnation[0] = 1; incarnation[1] = 2 };
	do
	:: try < TRIES ->
		if :: node = 0 :: node = 1 fi;
		try++;
		current = try;
		run attempt(node, try)
	:: try == TRIES -> break
	od
}
