/*
 * Orders to an engine that starts again under its name, so that an order for its earlier
 * run, carried out late, can be taken by the later one: the name fits, and the count of
 * orders begins anew.
 *
 * Two planners learn from entries what the engine holds. Entries name the run; those of one
 * run come in their order, and word of an earlier run may come at any time. Before an order a
 * planner asks the engine, and gives it only if the run and what it holds are as believed.
 * The engine may start again at any moment, an order may be carried out at any later time or
 * never, and nothing but the count keeps it from doing so.
 *
 * Promise: what a late order has made the engine hold does not stand. Once no order is under
 * way and the newest entry has been told, one more look has the engine hold what it should,
 * whatever word of the earlier run still comes.
 *
 * Variants, each of which must fail:
 *   KEEPS   word of an earlier run replaces that of the later one
 *   TRUSTS  an order that was taken counts as held, without another look at the entries
 */
#define OTHER 1         /* what an outdated plan wants held */
#define WANT 3          /* what the engine should hold */
#define RUNS 2          /* runs of the engine */

byte held = 0;          /* what the engine holds */
byte count = 0;         /* orders that it has taken since its start */
byte born = 1;          /* its run */
byte done = 0;          /* planners that have ended */
bool restarted = false;

chan entries = [3] of { byte, byte };   /* the run, and what it holds */

byte knownRun[2];       /* what each planner believes */
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

/* carryOut has the engine take an order if the count fits. */
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
			/* Here the order may wait for as long as it likes, or be lost. */
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

/* settle is the look of one planner when nothing is under way any more. */
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
