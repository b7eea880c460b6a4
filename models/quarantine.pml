/*
 * Requests that end the upstreams which run them, and others that do not, sent by two
 * nodes that tell each other what they lose.
 *
 * A work is lost at an upstream where an attempt brings nothing. One work, DEADLY, ends
 * each upstream that begins to run it. The other, PLAIN, ends none, but is lost at
 * upstreams that the deadly one ends, and at those that the node cannot reach. A node may
 * be cut off from all upstreams and have them back, may miss what the other one tells, and
 * may be started anew, when it knows only what the store keeps.
 *
 * Mechanism: a loss counts where the node itself finds that the upstream has ended or is
 * silent, and no longer once it answers. With MOST losses that count a work is quarantined
 * and kept in the store, with the upstreams that are thought to have ended unless that is
 * certain; who reads it there asks these too. What is certain in the store is not replaced
 * by what is not, nor removed. What an upstream has answered is cleared.
 *
 * Promises: a node that has started since the deadly work was quarantined for
 * certain sends it to none; a node that reaches the upstreams, and has asked those that it has doubts about,
 * refuses the plain work only where that was lost at MOST upstreams that ended; one
 * that was never cut off does not refuse it by the word of one that was; and a node that
 * has quarantined the deadly work for upstreams that have all ended sends it to none while
 * it runs, whoever has their addresses by then.
 *
 * Variants, each of which must fail:
 *   NOSTORE  what is quarantined is not kept
 *   TRUST    a loss counts by the word of the other node
 *   OVERWRITE what is certain in the store is replaced by what is not
 *   NOASK    who reads the store does not ask the upstreams
 *   NAMELESS the answer of the next process at the address of an upstream that has
 *            ended is taken for one of that upstream
 */
#define NODES 2
#define UPSTREAMS 3
#define MOST 2
#define STEPS 8         /* what all nodes do */
#define PLAIN 0
#define DEADLY 1

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

bool ended[UPSTREAMS];
byte endedSet = 0;
bool cut[NODES];
/* By node and work (node * 2 + work): the upstreams where it was lost, those of them that
   the node thinks have ended, and whether it is quarantined. */
byte lost[4];
byte thought[4];
bool held[4];
bool certain[4];
/* What the store keeps of each work, and the upstreams named with it. */
bool kept[2];
bool surely = false;    /* whether a node has quarantined the deadly work for certain */
byte keptEnded[2];
/* Whether a node has started since the deadly work was quarantined for certain. */
bool startedSince[NODES];
/* Whether a node has quarantined the deadly work, in this run of its own, for upstreams that
   have all ended: it sends it to none from then on. */
bool knew[NODES];
/* Whether a node was ever cut off, or started anew. */
bool wasCut[NODES];
bool wasStarted[NODES];

inline judge(node, w) {
	if
	:: COUNT(thought[(node) * 2 + w]) >= MOST ->
		held[(node) * 2 + w] = true;
		knew[node] = knew[node] || (w == DEADLY && (thought[(node) * 2 + w] & ~endedSet) == 0);
		/* Ends are certain once the list says so; the node may still be without it. */
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

/* send sends a work to an upstream, and takes in what comes of it. */
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
			/* The plain work had begun there as well. */
			:: !held[(node) * 2 + PLAIN] ->
				lost[(node) * 2 + PLAIN] = lost[(node) * 2 + PLAIN] | (1 << u);
				thought[(node) * 2 + PLAIN] = thought[(node) * 2 + PLAIN] | (1 << u);
				judge(node, PLAIN)
			:: true -> skip
			fi
		:: !held[(node) * 2 + w] && !ended[u] && !cut[node] && w == PLAIN ->
			/* It is answered. */
			lost[(node) * 2 + w] = 0;
			thought[(node) * 2 + w] = 0
		fi
	}
}

/* ask asks an upstream that a node has doubts about. */
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

/* tell tells the other node of a loss, if it arrives. */
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

/* start starts a node anew: it knows what the store keeps. */
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

/* check looks at the second promise: no upstream that is thought to have ended answers. */
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

/* All steps are atomic, so one process that takes each step for any node is as good as one
   for each, and has fewer states. */
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
