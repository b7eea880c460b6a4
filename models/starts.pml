/*
 * Nodes that start beside a return of the store from a backup.
 *
 * Version 2 takes a key away and is in force at all nodes; the backup has version 1. The
 * store may return to the backup, and the operator may write version 2 again. Nodes are
 * killed and start again: a started node reads the store, and asks all others in rounds.
 * An answer may be lost.
 *
 * Mechanism: a started node serves once a node has answered that has itself compared, or
 * after ROUNDS rounds. A node that has not compared vouches for nothing.
 *
 * Promise: while one node that has compared lives at all times, no node ever serves by
 * version 1, although an answer is lost in each but the last round. No node waits for
 * more than ROUNDS rounds, also where all have started.
 *
 * With DOUBT, the promise holds also where no node is left: registrations name the era in which
 * the store had shown the configuration of their node, and go back with the store. A started node
 * reads them at some time, and anew after a return. It waits until it has read them in the present
 * era; where none names that era, it waits until the store shows a newer version. That this wait
 * ends after some seconds, also where the operator has nothing to write, is left out: from then on
 * the promise does not hold.
 *
 * With FORGOTTEN, no node is left and all start after a return; the backup has a row of ours that
 * names the newest version in force. Either version 2 was in force and is lost, or there never was
 * one. What a started node can read is the same in both: the store's version, the row and the era.
 * So whatever it decides by these is wrong in one of them: to serve serves by a version that was
 * replaced, to wait waits for a version that nobody writes.
 *
 * Variants, each of which must fail:
 *   SENT     a comparison counts when it has been sent
 *   VOUCH    a node that has not compared vouches for what it has read
 *   EARLY    a started node serves before it has compared
 *   ENDLESS  a node without an answer waits for one
 *   ALLDOWN  the promise is asked for also where no node is left that has compared
 *   BLINDVOUCH  DOUBT, and a node vouches for an era whatever the store shows
 *   UNREAD   DOUBT, and registrations that have not been read are taken for ones that vouch
 *   STALE    DOUBT, and registrations are not read anew after a return
 *   BLANK    DOUBT, and a node that has not compared replaces the registrations by ones that name
 *            no era, which put nothing in doubt
 *   TELLSERVE  FORGOTTEN, and a started node serves
 *   TELLWAIT   FORGOTTEN, and a started node waits for a newer version
 */
#if defined(BLINDVOUCH) || defined(UNREAD) || defined(STALE) || defined(BLANK)
#define DOUBT
#endif
#if defined(TELLSERVE) || defined(TELLWAIT)
#define FORGOTTEN
#endif
#ifdef DOUBT
#define ALLDOWN
#endif
#ifdef FORGOTTEN
bool lost;                      /* version 2 was in force before the return */
byte storeVersion, row;         /* what a started node reads, beside the era */
bool serves, waits;

init {
	if :: lost = true :: lost = false fi;
	/* The backup is older than version 2, so neither the store nor the row has it. */
	storeVersion = 1; row = 1;
	/* The decision follows from storeVersion and row, which are 1 and 1 in either case. */
#ifdef TELLSERVE
	serves = (storeVersion == row);
#endif
#ifdef TELLWAIT
	waits = (storeVersion == row);
#endif
	assert(!(serves && lost));              /* no key that was taken away */
	assert(!(waits && !lost))               /* nobody writes: no wait without an end */
}
#else
#define NODES 3
#define ROUNDS 3

byte storeVersion = 2;
bool returned = false;
bool vouched = true;            /* a registration names the present era */
bool named = true;              /* a registration names any era */
byte registry[NODES];           /* 0 not read in the present era, 1 none names it, 2 one does */
byte have[NODES] = 2;
byte state[NODES] = 2;          /* 0 down, 1 started, 2 compared */
byte rounds[NODES];
byte kills = 0;
byte i, j;
bool remembered = true;         /* a node that has compared has lived at all times */

#ifdef UNREAD
#define TRUSTED(n) (registry[n] != 1)
#else
#ifdef BLANK
#define TRUSTED(n) (registry[n] == 2 || (registry[n] == 1 && !named))
#else
#define TRUSTED(n) (registry[n] == 2)
#endif
#endif

inline serve(n) {
#ifdef EARLY
	assert(state[n] == 0 || have[n] == 2 || !remembered)
#else
	assert(state[n] < 2 || have[n] == 2 || !remembered)
#endif
}

inline ask(n) {
	j = 0;
	do
	:: j < NODES ->
		if
		:: j != n && rounds[n] < ROUNDS - 1 -> skip               /* no answer, or a late one */
#ifdef VOUCH
		:: j != n && state[j] >= 1 ->
#else
		:: j != n && state[j] == 2 ->
#endif
			if :: have[j] > have[n] -> have[n] = have[j] :: else -> skip fi;
			state[n] = 2
		:: else -> skip
		fi;
		j++
	:: else -> break
	od;
	j = 0;
	if :: rounds[n] < ROUNDS -> rounds[n]++ :: else -> skip fi;
#ifdef SENT
	state[n] = 2;
#endif
#ifdef DOUBT
	/* The store's feed tells a newer version before a registration can tell that it was seen. */
	if
	:: state[n] == 1 && storeVersion > have[n] -> have[n] = storeVersion; state[n] = 2
	:: state[n] == 1 && storeVersion <= have[n] && rounds[n] >= ROUNDS && TRUSTED(n) -> state[n] = 2
	:: else -> skip
	fi;
	assert(state[n] == 2 || rounds[n] < ROUNDS || registry[n] != 2)
#else
#ifndef ENDLESS
	if :: state[n] == 1 && rounds[n] >= ROUNDS -> state[n] = 2 :: else -> skip fi;
#endif
	assert(state[n] == 2 || rounds[n] < ROUNDS)
#endif
}

#define COMPARED(n) (state[n] == 2)
#define OTHERS(n) (COMPARED((n + 1) % NODES) || COMPARED((n + 2) % NODES))

init {
	do
	:: atomic { !returned -> returned = true; storeVersion = 1; vouched = false;
#ifndef STALE
		registry[0] = 0; registry[1] = 0; registry[2] = 0
#endif
		}
	:: atomic { returned -> storeVersion = 2 }
	:: atomic { select (i : 0 .. 2);
		if
		:: state[i] > 0 && kills < 4 ->
			state[i] = 0; rounds[i] = 0; registry[i] = 0; kills++;
#ifndef ALLDOWN
			remembered = remembered && OTHERS(i)
#endif
#ifdef DOUBT
		/* The configuration and the registrations are read in either order. */
		:: state[i] == 0 -> have[i] = 0; state[i] = 1
		:: state[i] == 1 && have[i] == 0 -> have[i] = storeVersion
		:: state[i] == 1 && have[i] > 0 -> ask(i)
#else
		:: state[i] == 0 -> have[i] = storeVersion; state[i] = 1
		:: state[i] == 1 -> ask(i)
#endif
		:: state[i] > 0 -> serve(i)
#ifdef DOUBT
		:: state[i] == 1 && registry[i] != 2 -> if :: vouched -> registry[i] = 2 :: else -> registry[i] = 1 fi
#ifdef BLANK
		:: state[i] == 1 && registry[i] == 0 -> named = false
#endif
#ifdef BLINDVOUCH
		:: state[i] == 2 -> vouched = true
#else
		:: state[i] == 2 && have[i] == storeVersion -> vouched = true
#endif
#endif
		fi;
		i = 0 }
	:: break
	od
}
#endif
