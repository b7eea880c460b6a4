/*
 * A planned stop hands a node's keys over, and still no key runs twice.
 *
 * One key, owned by the incarnation that runs as node 0. Node 0 stops and
 * hands its ledger to the node at another address; the message may be sent
 * twice, since its answer can get lost, and may arrive at any time. That node
 * may itself be replaced at any moment, by a new incarnation at the same
 * address with an empty memory. Three requests for the key come whenever and
 * wherever the checker likes.
 *
 * Mechanism: node 0 seals itself and takes the snapshot in one step; the
 * handover names the incarnation that it is meant for; it is taken once.
 *
 * Variants, each of which must fail:
 *   NOSEAL  node 0 may begin keys after the snapshot
 *   NOTO    whoever has the address takes the keys
 *   TWICE   a handover that comes again is taken again
 */
#define REQUESTS 3

bool sealed = false;         /* node 0 begins nothing any more */
bool begun = false;          /* node 0's memory of the key */
byte successor = 2;          /* incarnation at the other address */
bool holds = false;          /* it has been handed the key */
bool begunThere = false;     /* its memory of the key */
byte runs = 0;

/* handover: the incarnation that it is meant for, what the ledger says */
chan handover = [2] of { byte, bool };

active proctype stop() {
	byte to;
	bool snapshot;
	atomic {
#ifndef NOSEAL
		sealed = true;
#endif
		snapshot = begun;
		to = successor
	};
	handover!to, snapshot;
	if
	:: handover!to, snapshot     /* the answer was lost: the same again */
	:: skip
	fi
}

active proctype take() {
	byte to;
	bool snapshot;
end:	do
	:: handover?to, snapshot ->
		atomic {
			if
#ifdef NOTO
			:: !holds -> holds = true; begunThere = snapshot
#else
#ifdef TWICE
			:: to == successor -> holds = true; begunThere = snapshot
#else
			:: to == successor && !holds -> holds = true; begunThere = snapshot
#endif
#endif
			:: else -> skip
			fi
		}
	od
}

active proctype replace() {
	if
	:: atomic { successor = 3; holds = false; begunThere = false }
	:: skip
	fi
}

active [REQUESTS] proctype request() {
	if
	:: atomic { !sealed && !begun -> begun = true; runs++ }
	:: atomic { holds && !begunThere -> begunThere = true; runs++ }
	:: skip                      /* "unknown", or attached */
	fi;
	assert(runs <= 1)
}
