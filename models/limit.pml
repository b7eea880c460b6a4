/*
 * A limit that an upstream names for all nodes together, kept by permits that owners hand
 * out.
 *
 * Two nodes may hand out: FIRST is the owner by all names, SECOND stands in for it. Two others
 * ask. One of them may be unable to reach FIRST, SECOND too, so that both may hand out at the
 * same time. Questions and answers are late, come twice or are lost: whoever may take one in
 * does so at any time and as often as it likes, or never. FIRST may be started anew and knows
 * nothing of before.
 *
 * Mechanism: what may be handed out falls due with time, PART of FIRST and less of SECOND; a
 * node that has started has nothing at first. A question has a number, and one that was
 * answered is answered alike. An asker takes the answer to the question that it asks, once.
 *
 * Promise: what is sent in SLOTS slots is at most one and a half times what the limit allows,
 * and SPARE.
 *
 * Variants, each of which must fail:
 *   WHOLE   SECOND hands out the whole limit where FIRST does not answer
 *   TAKES   an asker takes any answer, though it does not ask
 *   FULL    a node that has started has the permits of a window at once
 */
#define ASKERS 2
#define OWNERS 2
#define FIRST 0
#define SECOND 1
#define SLOTS 2
#define PART 4          /* what the limit allows in a slot */
#define STANDS_IN 1     /* what SECOND hands out in one */
#define ACTS 2          /* the same where it cannot hear FIRST itself */
#define DEPTH 4         /* what may be had at once after a pause */
#define SPARE 2
#define STARTS 1

byte level[OWNERS];
byte sent = 0;
byte slot = 0;
byte starts = 0;
bool unheard = false;   /* whether SECOND cannot hear FIRST */
bool cut[ASKERS];       /* whether an asker cannot reach FIRST */

/* What is on its way: the last question of each asker, and the last answer to it. */
byte asks[ASKERS];
byte asksWhom[ASKERS];
byte grants[ASKERS];
byte grantsWhat[ASKERS];
bool asking[ASKERS];

/* By owner and asker (owner * 2 + asker): the last question answered, and how. */
byte answered[4];
byte answeredWith[4];

/* take sends what an answer allows. */
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
