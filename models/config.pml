/*
 * An accepted configuration is never lost, and no node reverts to an older version.
 *
 * Two operators each propose one change, concurrently and through any node. The
 * table stores the newest version and the owner of each version. A commit may take
 * effect although its response is lost; the node then retries with the same change
 * ID. Two nodes learn new versions from the table while it is available, or from
 * each other. A node may restart with empty state.
 *
 * Mechanism: a commit is one transaction on (newest version, change ID). A node
 * accepts only higher versions. A restarted node is ready once it has a version at
 * least as high as that of any reachable peer or of the table.
 *
 * Variants, each of which must fail:
 *   BLIND  the commit does not check the newest version
 *   BACK   a node accepts any version that it receives
 */
#define NODES 2
#define OPERATORS 2

byte head = 0;                  /* newest version in the table */
byte owner[4];                  /* operator of each version, 1 or 2 */
byte byId[3];                   /* version of each operator's change, 0 for none */
byte version[NODES];            /* active at each node; 0 if not ready */
byte highest[NODES];            /* highest version ever active at each node */
byte accepted[3];               /* version reported to each operator, 0 for none */
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
		if :: answered = true :: skip /* response lost: retry */ fi
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
		/* a new incarnation, which has acknowledged nothing yet */
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
	/* After all processes have ended, every accepted change is still in the table. */
	(_nr_pr == 1);
	for (i : 1 .. OPERATORS) {
		if
		:: accepted[i] != 0 -> assert(owner[accepted[i]] == i && accepted[i] <= head)
		:: else -> skip
		fi
	}
}
