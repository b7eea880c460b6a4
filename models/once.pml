/*
 * At most once: a request with a key runs at most once, over nodes that keep
 * nothing, and "not run" is true.
 *
 * One key. Two nodes; a node may die and come back as a new incarnation with
 * an empty memory. A caller tries up to three times, at any node, and may give
 * up on a try at any moment. The platform's table has one row: the claim. A
 * write may take effect and its answer get lost; the node then asks again.
 *
 * A freeze needs no action of its own: a process may stop between any two of
 * its steps for as long as the checker likes.
 *
 * Mechanism: the first claim written stands for ever, it names one
 * incarnation, and that incarnation's memory (begun) lets the key start once.
 *
 * Variants, each of which must fail:
 *   LEASE    owners are found by a lease that can lapse; holders check it and
 *            then send
 *   NOLEDGER the owner does not remember what it has begun
 *   NOTRY    a refusal counts this try only, and not the ones before it
 */
#define NODES 2
#define TRIES 3
#define DEATHS 2

byte claim = 0;              /* the table's row: an incarnation, 0 for none */
byte incarnation[NODES];     /* the incarnation that runs as each node */
bool begun[NODES];           /* the node's memory of the key */
byte lastIncarnation = NODES;
byte runs = 0;               /* times the upstream has run the key */
byte sent = 0;               /* times the key has been sent upstream */
byte deaths = 0;
byte current = 0;            /* the try that the caller waits for */

/* "Not run" is said to the try that the caller waits for, or to nobody. */
inline sayNotRun() {
	atomic { assert(try != current || sent == 0) }
}

/* One try: what a node does with a request for the key. */
proctype attempt(byte node; byte try) {
	bool first = (try == 1);
	byte me = incarnation[node];
	byte owner = 0;
	byte home;

	/* Ask whose key it is. An outage may refuse the request here. */
	if
	:: true ->
#ifdef LEASE
		/* take the lease if it is free or has lapsed, which it may any time */
		atomic { if :: claim == 0 -> claim = me :: true -> claim = me :: true fi; owner = claim }
#else
		do
		:: atomic { claim == 0 -> claim = me; if :: owner = me :: skip /* answer lost */ fi }
		:: claim != 0 -> owner = claim; break
		od
#endif
	:: true ->
		/* refused: the store gives no answer, in time */
#ifdef NOTRY
		sayNotRun()
#else
		if
		:: first -> sayNotRun()   /* no earlier try */
		:: else -> skip                 /* "unknown" */
		fi
#endif
		goto done
	fi;

	/* Go to the owner: this node, the other one, or nobody any more. */
	if
	:: owner == incarnation[0] -> home = 0
	:: owner == incarnation[1] -> home = 1
	:: else ->
		if
		:: first && owner != me -> sayNotRun()   /* the owner is gone */
		:: else -> skip                                /* "unknown" */
		fi;
		goto done
	fi;

	/* The owner's memory decides. The process that holds it may have been
	   replaced since: then the key is nobody's. */
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

/* A node dies and comes back. What it has sent may still arrive. */
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

/* The caller does not wait: a try that it gave up may still be under way. */
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
