/*
 * A limit that an upstream advertises for all nodes together, enforced by permits that
 * owners grant.
 *
 * Two nodes may grant permits: FIRST is the owner, SECOND its substitute. Two other nodes
 * request permits. One of them and SECOND may be unable to reach FIRST, so that both may
 * grant at the same time. Requests and responses may be delayed, duplicated or lost: a
 * receiver processes a message at any time, any number of times, or never. FIRST may
 * restart with empty state.
 *
 * Mechanism: permits accrue with time, PART per slot at FIRST and fewer at SECOND; a node
 * that has just started has none. Requests are numbered, and a repeated request gets the
 * same response. A requester accepts only the response to its current request, once.
 *
 * Promise: the number of requests sent in SLOTS slots is at most one and a half times the
 * limit, plus SPARE.
 *
 * Variants, each of which must fail:
 *   WHOLE   SECOND grants the full limit if FIRST is unreachable
 *   TAKES   a requester accepts any response, even without a pending request
 *   FULL    a node that has just started has the permits of a full window
 */
#define ASKERS 2
#define OWNERS 2
#define FIRST 0
#define SECOND 1
#define SLOTS 2
#define PART 4          /* limit per slot */
#define STANDS_IN 1     /* permits that SECOND grants per slot */
#define ACTS 2          /* permits that SECOND grants per slot if it cannot reach FIRST */
#define DEPTH 4         /* maximum number of accumulated permits */
#define SPARE 2
#define STARTS 1

byte level[OWNERS];
byte sent = 0;
byte slot = 0;
byte starts = 0;
bool unheard = false;   /* whether SECOND cannot reach FIRST */
bool cut[ASKERS];       /* whether a requester cannot reach FIRST */

/* Messages in transit: the last request of each requester, and the last response to it. */
byte asks[ASKERS];
byte asksWhom[ASKERS];
byte grants[ASKERS];
byte grantsWhat[ASKERS];
bool asking[ASKERS];

/* By owner and requester (owner * 2 + requester): the last request answered, and its response. */
byte answered[4];
byte answeredWith[4];

/* take sends as many requests as a response permits. */
inline take(me)
{
	sent = sent + grantsWhat[me];
	asking[me] = false;
	assert(sent <= PART * SLOTS * 3 / 2 + SPARE)
}

proctype Asker(byte me)
{
	do
	:: atomic { !asking[me] && asks[me] < SLOTS ->
		asks[me]++;
		asking[me] = true;
		if
		:: cut[me] -> asksWhom[me] = SECOND
		:: else -> asksWhom[me] = FIRST
		fi }
#ifdef TAKES
	:: atomic { grants[me] > 0 -> take(me) }
#else
	:: atomic { asking[me] && grants[me] == asks[me] -> take(me) }
#endif
	:: atomic { me == 1 -> cut[me] = !cut[me] }
	od
}

proctype Owner(byte me)
{
	byte who, at;
	do
	:: atomic { true ->
		if
		:: who = 0
		:: who = 1
		fi;
		at = me * 2 + who;
		if
		:: asks[who] > 0 && asksWhom[who] == me ->
			if
			:: answered[at] == asks[who] -> skip
			:: else ->
				answered[at] = asks[who];
				answeredWith[at] = level[me];
				level[me] = 0
			fi;
			grants[who] = asks[who];
			grantsWhat[who] = answeredWith[at]
		:: else -> skip
		fi }
	od
}

proctype World()
{
	do
	:: atomic { slot < SLOTS ->
		slot++;
		level[FIRST] = level[FIRST] + PART;
		if
		:: level[FIRST] > DEPTH -> level[FIRST] = DEPTH
		:: else -> skip
		fi;
#ifdef WHOLE
		level[SECOND] = level[SECOND] + PART;
#else
		if
		:: unheard -> level[SECOND] = level[SECOND] + ACTS
		:: else -> level[SECOND] = level[SECOND] + STANDS_IN
		fi;
#endif
		if
		:: level[SECOND] > DEPTH -> level[SECOND] = DEPTH
		:: else -> skip
		fi }
	:: atomic { unheard = !unheard }
	:: atomic { starts < STARTS ->
		starts++;
		answered[0] = 0;
		answered[1] = 0;
#ifdef FULL
		level[FIRST] = PART * SLOTS
#else
		level[FIRST] = 0
#endif
		}
	od
}

init {
	atomic {
		run Asker(0);
		run Asker(1);
		run Owner(FIRST);
		run Owner(SECOND);
		run World()
	}
}
