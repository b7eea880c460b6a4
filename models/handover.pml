/*
 * A planned stop hands over a node's keys, and still no key is executed twice.
 *
 * One key is owned by the incarnation of node 0. Node 0 stops and sends its ledger
 * to the node at another address. The message may be sent twice, since its response
 * may be lost, and may arrive at any time. The receiving node may be replaced at any
 * time by a new incarnation at the same address with empty memory. Three requests
 * for the key arrive at any time at any node.
 *
 * Mechanism: node 0 seals itself and takes the snapshot in one step. The handover
 * names the receiving incarnation and is accepted once.
 *
 * Variants, each of which must fail:
 *   NOSEAL  node 0 may begin keys after the snapshot
 *   NOTO    any incarnation at the address accepts the keys
 *   TWICE   a repeated handover is accepted again
 */
#define REQUESTS 3

bool sealed = false;         /* whether node 0 has stopped beginning keys */
bool begun = false;          /* whether node 0 has begun the key */
byte successor = 2;          /* incarnation at the other address */
bool holds = false;          /* whether the successor owns the key */
bool begunThere = false;     /* whether the successor has begun the key */
byte runs = 0;

/* handover: the receiving incarnation, whether the ledger lists the key as begun */
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
	:: handover!to, snapshot     /* the response was lost: send again */
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
