/*
 * Orders to an engine that restarts under the same name. A delayed order for an earlier
 * process can be accepted by a later one, because the name matches and the count of
 * orders starts again at zero.
 *
 * Two planners learn the layers of the engine from entries, which name the process.
 * Entries of one process arrive in order; entries of an earlier process may arrive at any
 * time. Before sending an order, a planner queries the engine, and sends the order only if
 * the process and its layers match the planner's view. The engine may restart at any time.
 * An order may be executed at any later time or never; only the count can reject it.
 *
 * Promise: the effect of a delayed order does not last. Once no order is in transit and
 * the newest entry has been delivered, one more check by a planner makes the engine hold
 * the wanted layers, even if entries of an earlier process still arrive.
 *
 * Variants, each of which must fail:
 *   KEEPS   an entry of an earlier process replaces that of a later one
 *   TRUSTS  an accepted order counts as held without checking the entries again
 */
#define OTHER 1         /* layers wanted by an outdated plan */
#define WANT 3          /* layers that the engine should hold */
#define RUNS 2          /* number of processes of the engine */

byte held = 0;          /* layers that the engine holds */
byte count = 0;         /* orders accepted since the start of the process */
byte born = 1;          /* number of the current process */
byte done = 0;          /* number of planners that have finished */
bool restarted = false;

chan entries = [3] of { byte, byte };   /* the process and its layers */

byte knownRun[2];       /* process in each planner's view */
byte knownHeld[2];

inline learn(who, life, layers) {
#ifdef KEEPS
	knownRun[who] = life; knownHeld[who] = layers
#else
	if
	:: life >= knownRun[who] -> knownRun[who] = life; knownHeld[who] = layers
	:: else -> skip
	fi
#endif
}

/* carryOut makes the engine accept an order if the count matches. */
inline carryOut(expected, layers, taken) {
	if
	:: count == expected -> held = layers; count++; taken = true
	:: else -> taken = false
	fi
}

proctype planner(byte who) {
	byte life, layers, expected, rounds = 0;
	bool taken, fits;
	do
	:: rounds < 2 ->
		rounds++;
		atomic {
			if
			:: entries?life, layers -> learn(who, life, layers)
			:: learn(who, born, held)
			:: skip
			fi
		}
		if :: layers = OTHER :: layers = WANT fi;
		atomic {
			fits = knownRun[who] == born && knownHeld[who] == held && held != layers;
			expected = count
		}
		if
		:: fits ->
			/* The order may be delayed by any time at this point, or be lost. */
			if
			:: atomic {
				carryOut(expected, layers, taken);
#ifdef TRUSTS
				if
				:: taken -> knownHeld[who] = layers
				:: else -> skip
				fi
#endif
			   }
			:: skip
			fi
		:: else -> skip
		fi
	:: rounds == 2 -> break
	od;
	done++
}

proctype engine() {
	do
	:: atomic { nfull(entries) -> entries!born, held }
	:: atomic {
		born < RUNS && !restarted ->
		restarted = true;
		born++;
		held = 0;
		count = 0
	   }
	:: done == 2 -> break
	od
}

/* settle is the check by one planner when no order is in transit. */
proctype settle() {
	byte life, layers;
	bool taken;
	atomic {
		done == 2;
#ifndef TRUSTS
		learn(0, born, held);
#else
		if
		:: knownRun[0] != born -> learn(0, born, held)
		:: else -> skip
		fi;
#endif
		do
		:: nempty(entries) ->
			entries?life, layers;
			if
			:: life < born -> learn(0, life, layers)
			:: else -> skip
			fi
		:: break
		od;
		if
		:: knownHeld[0] != WANT && held != WANT -> carryOut(count, WANT, taken)
		:: else -> skip
		fi;
		assert(held == WANT)
	}
}

init {
	atomic {
		run planner(0); run planner(1); run engine(); run settle()
	}
}
