/*
 * Requests that crash the upstreams that execute them, and requests that do not, sent by
 * two nodes that report losses to each other.
 *
 * A request is lost at an upstream if an attempt gets no response. One request, DEADLY,
 * crashes each upstream that starts to execute it. The other, PLAIN, crashes none, but is
 * lost at upstreams that the deadly request crashes and at upstreams that the node cannot
 * reach. A node may lose and regain its connection to all upstreams, may miss reports of
 * the other node, and may restart with only the contents of the store.
 *
 * Mechanism: a loss counts while the node itself finds the upstream crashed or
 * unresponsive. With MOST counted losses a request is quarantined and written to the
 * store, with the suspected upstreams unless their crashes are confirmed. A node that
 * reads such an entry probes these upstreams too. A confirmed entry in the store is not
 * replaced by an unconfirmed one and not removed. A request that an upstream has answered
 * is cleared.
 *
 * Promises: a node that started after the quarantine of the deadly request was confirmed
 * sends it to no upstream. A node that reaches the upstreams and has probed the suspected
 * ones refuses the plain request only if that was lost at MOST crashed upstreams. A node
 * that was never disconnected does not refuse the plain request because of a report by a
 * node that was. A node that has quarantined the deadly request because of upstreams that
 * have all crashed sends it to no upstream until it restarts, even if other processes have
 * taken over the addresses.
 *
 * Variants, each of which must fail:
 *   NOSTORE  quarantined requests are not written to the store
 *   TRUST    a loss reported by the other node counts without a check
 *   OVERWRITE a confirmed entry in the store is replaced by an unconfirmed one
 *   NOASK    a node that reads the store does not probe the upstreams
 *   NAMELESS a response of the next process at the address of a crashed upstream is taken
 *            for a response of that upstream
 */
#define NODES 2
#define UPSTREAMS 3
#define MOST 2
#define STEPS 8         /* number of steps of all nodes together */
#define PLAIN 0
#define DEADLY 1

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

bool ended[UPSTREAMS];
byte endedSet = 0;
bool cut[NODES];
/* By node and request (node * 2 + work): the upstreams at which the request was lost, those
   of them that the node considers crashed, and whether the request is quarantined. */
byte lost[4];
byte thought[4];
bool held[4];
bool certain[4];
/* The store's entry for each request, and the suspected upstreams in the entry. */
bool kept[2];
bool surely = false;    /* whether a node has a confirmed quarantine of the deadly request */
byte keptEnded[2];
/* Whether a node has started since the quarantine of the deadly request was confirmed. */
bool startedSince[NODES];
/* Whether a node has quarantined the deadly request since its own start because of upstreams
   that have all crashed. From then on the node sends the request to no upstream. */
bool knew[NODES];
/* Whether a node was ever disconnected, or restarted. */
bool wasCut[NODES];
bool wasStarted[NODES];

inline judge(node, w) {
	if
	:: COUNT(thought[(node) * 2 + w]) >= MOST ->
		held[(node) * 2 + w] = true;
		knew[node] = knew[node] || (w == DEADLY && (thought[(node) * 2 + w] & ~endedSet) == 0);
		/* Crashes are confirmed by the list of upstreams, which the node may not have received yet. */
		if
		:: (thought[(node) * 2 + w] & ~endedSet) == 0 ->
			certain[(node) * 2 + w] = true;
			surely = surely || w == DEADLY
		:: true -> skip
		fi;
#ifndef NOSTORE
		if
		:: certain[(node) * 2 + w] -> kept[w] = true; keptEnded[w] = 0
#ifdef OVERWRITE
		:: !certain[(node) * 2 + w] -> kept[w] = true; keptEnded[w] = thought[(node) * 2 + w]
#else
		:: !certain[(node) * 2 + w] && !kept[w] -> kept[w] = true; keptEnded[w] = thought[(node) * 2 + w]
#endif
		:: else -> skip
		fi
#endif
	:: else -> skip
	fi
}

/* send sends a request to an upstream and processes the result. */
inline send(node, w, u) {
	atomic {
		if
		:: held[(node) * 2 + w] -> skip
		:: !held[(node) * 2 + w] && ended[u] -> skip
		:: !held[(node) * 2 + w] && !ended[u] && cut[node] ->
			lost[(node) * 2 + w] = lost[(node) * 2 + w] | (1 << u);
			thought[(node) * 2 + w] = thought[(node) * 2 + w] | (1 << u);
			judge(node, w)
		:: !held[(node) * 2 + w] && !ended[u] && !cut[node] && w == DEADLY ->
			assert(!startedSince[node]);
			assert(!knew[node]);
			ended[u] = true;
			endedSet = endedSet | (1 << u);
			lost[(node) * 2 + w] = lost[(node) * 2 + w] | (1 << u);
			thought[(node) * 2 + w] = thought[(node) * 2 + w] | (1 << u);
			judge(node, w);
			if
			/* The plain request was in progress at the upstream too. */
			:: !held[(node) * 2 + PLAIN] ->
				lost[(node) * 2 + PLAIN] = lost[(node) * 2 + PLAIN] | (1 << u);
				thought[(node) * 2 + PLAIN] = thought[(node) * 2 + PLAIN] | (1 << u);
				judge(node, PLAIN)
			:: true -> skip
			fi
		:: !held[(node) * 2 + w] && !ended[u] && !cut[node] && w == PLAIN ->
			/* The upstream responds. */
			lost[(node) * 2 + w] = 0;
			thought[(node) * 2 + w] = 0
		fi
	}
}

/* ask probes an upstream that a node suspects. */
inline ask(node, w, u) {
	atomic {
		if
#ifdef NAMELESS
		:: !cut[node] && !certain[(node) * 2 + w] && (thought[(node) * 2 + w] & (1 << u)) ->
#else
		:: !cut[node] && !ended[u] && !certain[(node) * 2 + w] && (thought[(node) * 2 + w] & (1 << u)) ->
#endif
			lost[(node) * 2 + w] = lost[(node) * 2 + w] & ~(1 << u);
			thought[(node) * 2 + w] = thought[(node) * 2 + w] & ~(1 << u);
			if
			:: COUNT(thought[(node) * 2 + w]) < MOST ->
				held[(node) * 2 + w] = false;
				if
				:: kept[w] && keptEnded[w] != 0 -> kept[w] = false
				:: else -> skip
				fi
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
}

/* tell reports a loss to the other node; the report may get lost. */
inline tell(node, w, u) {
	atomic {
		if
		:: lost[(node) * 2 + w] & (1 << u) ->
			lost[(1 - node) * 2 + w] = lost[(1 - node) * 2 + w] | (1 << u);
			if
#ifdef TRUST
			:: true ->
#else
			:: cut[1 - node] || ended[u] ->
#endif
				thought[(1 - node) * 2 + w] = thought[(1 - node) * 2 + w] | (1 << u);
				judge(1 - node, w)
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
}

/* start restarts a node with the contents of the store. */
inline start(node) {
	atomic {
		startedSince[node] = surely;
		wasStarted[node] = true;
		knew[node] = false;
		lost[(node) * 2] = 0; lost[(node) * 2 + 1] = 0;
		held[(node) * 2] = kept[PLAIN]; held[(node) * 2 + 1] = kept[DEADLY];
		certain[(node) * 2] = kept[PLAIN] && keptEnded[PLAIN] == 0;
		certain[(node) * 2 + 1] = kept[DEADLY] && keptEnded[DEADLY] == 0;
#ifdef NOASK
		thought[(node) * 2] = 0; thought[(node) * 2 + 1] = 0
#else
		thought[(node) * 2] = (kept[PLAIN] -> keptEnded[PLAIN] : 0);
		thought[(node) * 2 + 1] = (kept[DEADLY] -> keptEnded[DEADLY] : 0)
#endif
	}
}

/* check checks the second promise: no upstream considered crashed responds. */
inline check(node) {
	atomic {
		if
		:: !cut[node] && held[(node) * 2 + PLAIN] && !certain[(node) * 2 + PLAIN] && (thought[(node) * 2 + PLAIN] & ~endedSet) == 0 ->
			assert(COUNT(thought[(node) * 2 + PLAIN]) >= MOST)
		:: else -> skip
		fi;
		assert(!certain[(node) * 2 + PLAIN] || COUNT(endedSet) >= MOST);
		assert(!held[(node) * 2 + PLAIN] || wasCut[node] || wasStarted[node] || COUNT(endedSet) >= MOST)
	}
}

/* All steps are atomic, so one process that takes steps for any node is equivalent to one
   process per node, and has fewer states. */
proctype nodes() {
	byte steps = 0;
	byte self, w, u;
	do
	:: steps < STEPS ->
		atomic {
			steps++;
			if :: self = 0 :: self = 1 fi;
			if :: w = PLAIN :: w = DEADLY fi;
			if :: u = 0 :: u = 1 :: u = 2 fi;
			if
			:: true -> send(self, w, u)
			:: true -> ask(self, w, u)
			:: true -> tell(self, w, u)
			:: true -> start(self)
			:: true -> cut[self] = !cut[self]; wasCut[self] = true
			fi;
			check(self);
			self = 0; w = 0; u = 0
		}
	:: break
	od
}

init {
	atomic { run nodes() }
}
