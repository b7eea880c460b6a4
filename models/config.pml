/*
 * An accepted configuration stays, and no node goes back.
 *
 * Two operators race, each with one change, through any node. The table keeps
 * the newest version and, for each version, whose change it is. A commit may
 * take effect and its answer get lost; the node asks again with the same
 * change id. Two nodes follow: from the table while it answers, or from each
 * other. A node may restart, and knows nothing then.
 *
 * Mechanism: a commit is one transaction on (newest version, change id); a
 * node moves to a higher version only, and a restarted one serves when it has
 * a version at least as high as any peer's that it can hear or the table's.
 *
 * Variants, each of which must fail:
 *   BLIND  the commit does not look at the newest version
 *   BACK   a node takes whatever version it hears
 */
#define NODES 2
#define OPERATORS 2

byte head = 0;                  /* newest version in the table */
byte owner[4];                  /* whose change made each version, 1 or 2 */
byte byId[3];                   /* version of each operator's change, 0: none */
byte version[NODES];            /* in force at each node; 0 is not ready */
byte highest[NODES];            /* highest that was ever in force there */
byte accepted[3];               /* version told to each operator, 0: none */
byte restarts = 0;

inline commit(id, base) {
	atomic {
		if
		:: byId[id] != 0 -> result = byId[id]           /* known change id */
#ifdef BLIND
		:: byId[id] == 0 ->
#else
		:: byId[id] == 0 && head == base ->
#endif
			head = base + 1;
			owner[head] = id;
			byId[id] = head;
			result = head
#ifndef BLIND
		:: byId[id] == 0 && head != base -> result = 0  /* conflict */
#endif
		fi
	}
}

proctype operator(byte id) {
	byte base, result;
	bool answered = false;
	base = head;
	do
	:: !answered ->
		commit(id, base);
		if :: answered = true :: skip /* lost answer: ask again */ fi
	:: answered -> break
	od;
	if
	:: result != 0 -> accepted[id] = result
	:: else -> skip
	fi
}

proctype node(byte me) {
	byte other, heard;
	byte steps = 0;
	do
	:: steps < 3 ->
		steps++;
		if
		:: heard = head                                    /* from the table */
		:: other = (me + 1) % NODES; heard = version[other]  /* from a peer */
		fi;
		atomic {
			if
#ifdef BACK
			:: heard != 0 -> version[me] = heard
#else
			:: heard > version[me] -> version[me] = heard
#endif
			:: else -> skip
			fi;
			assert(version[me] >= highest[me]);
			highest[me] = version[me]
		}
	:: restarts < 1 ->
		/* a new incarnation: it has promised nothing yet */
		atomic { version[me] = 0; highest[me] = 0; restarts++ }
	:: steps == 3 -> break
	od
}

init {
	byte i;
	atomic {
		run operator(1);
		run operator(2);
		run node(0);
		run node(1)
	};
	/* When all is quiet, what was accepted is still in the table. */
	(_nr_pr == 1);
	for (i : 1 .. OPERATORS) {
		if
		:: accepted[i] != 0 -> assert(owner[accepted[i]] == i && accepted[i] <= head)
		:: else -> skip
		fi
	}
}
