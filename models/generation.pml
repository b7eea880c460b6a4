/*
 * Each layer is executed once and in order for each token, and no token is emitted
 * twice, although responses may be delayed, duplicated or reordered.
 *
 * One request runs over two stages, with a spare engine for the first. Steps and
 * responses are messages that may be duplicated or delayed arbitrarily. The first
 * stage's engine may crash once; the node then starts a new generation on the spare,
 * from the prompt and the tokens emitted so far.
 *
 * A stage's cache is modelled as the next position that it expects. The prompt is
 * position 0. The token emitted at position p is p itself if each layer was executed
 * once for each position up to p; any other token is BAD.
 *
 * Mechanism: steps and responses carry (generation, position). An engine answers a
 * repeated step with its last output, rejects a gap, and rejects steps of a lower
 * generation. The node accepts only the response that it is waiting for.
 *
 * Variants, each of which must fail:
 *   NOMATCH  the node accepts any response
 *   NOCHECK  an engine executes any position that it receives
 */
#define TOKENS 3
#define BAD 99

/* step: stage, generation, first position, last position, valid */
chan steps = [3] of { byte, byte, byte, byte, bool };
/* response: stage, generation, last position, valid */
chan answers = [3] of { byte, byte, byte, bool };

byte emitted = 0;
byte generation = 1;
bool died = false;
byte doubled = 0;

/* engine models an engine of a stage. Its session belongs to one generation. */
proctype engine(byte stage) {
	byte g, from, to, session = 0, next = 0, last = 255;
	bool good, whole = true, lastGood = true;
end:	do
	:: steps??eval(stage), g, from, to, good ->
		if
		:: g < session -> skip                            /* fenced */
		:: g > session && from != 0 -> skip               /* gap */
		:: else ->
			if
			:: g > session -> session = g; next = 0; last = 255; whole = true
			:: else -> skip
			fi;
#ifdef NOCHECK
			whole = whole && good && (from == next);
			next = to + 1;
			answers!stage, g, to, whole
#else
			if
			:: last == from -> answers!stage, g, to, lastGood   /* a repeat */
			:: last != from && from == next ->
				whole = whole && good;
				next = to + 1;
				last = from;
				lastGood = whole;
				answers!stage, g, to, whole
			:: else -> skip                                       /* gap */
			fi
#endif
		fi
	od
}

/* The network may duplicate messages. */
active proctype network() {
	byte s, g, a, b;
	bool good;
end:	do
	:: doubled < 2 && nempty(steps) && nfull(steps) ->
		atomic { steps?<s, g, a, b, good>; steps!s, g, a, b, good; doubled++ }
	:: doubled < 2 && nempty(answers) && nfull(answers) ->
		atomic { answers?<s, g, a, good>; answers!s, g, a, good; doubled++ }
	od
}

/* The node. Stage 0 is the first engine, stage 2 its spare, stage 1 the last stage. */
active proctype node() {
	byte first = 0, waiting = 0, from = 0, to = 0;
	byte s, g, p;
	bool good;
	run engine(0);
	run engine(1);
	run engine(2);
	steps!first, generation, 0, 0, true;
	do
	:: emitted == TOKENS -> break
	:: answers?s, g, p, good ->
#ifndef NOMATCH
		if
		:: !(s == waiting && g == generation && p == to) -> goto next
		:: else -> skip
		fi;
#endif
		if
		:: s != 1 ->
			waiting = 1;
			steps!1, generation, from, to, good
		:: s == 1 ->
			/* the token of position `to` must be the next one and valid */
			assert(good);
			assert(p == emitted);
			emitted++;
			from = to + 1;
			to = from;
			waiting = first;
			if
			:: emitted < TOKENS -> steps!first, generation, from, to, true
			:: else -> skip
			fi
		fi;
next:		skip
	:: !died && emitted < TOKENS ->
		/* the first engine crashed or is suspected: resume at the spare */
		died = true;
		generation++;
		first = 2;
		waiting = 2;
		from = 0;
		to = emitted;
		steps!first, generation, from, to, true
	od
}
