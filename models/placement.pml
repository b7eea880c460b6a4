/*
 * Orders to engines, sent by two planners concurrently and possibly executed late,
 * and chains built from a node's view of the layers that engines hold.
 *
 * The model has two layers. An engine holds a set of layers, and accepts an order only
 * if it carries the number of orders that the engine has accepted so far. A planner
 * queries an engine, decides, and sends; the order may be executed at any later time or
 * never. An engine may crash and restart empty, with its count at zero, as a new
 * incarnation that does not match orders for the old one. A node builds chains from the
 * last reports of the engines, and an engine rejects layers that it does not hold.
 *
 * Promises: an engine never executes an order that was decided before an order that it
 * has executed already; and a chain that is executed executes each layer once and in
 * order.
 *
 * Variants, each of which must fail:
 *   NOCOUNT  orders do not carry the count
 *   NONAME   orders and requests do not name the engine's incarnation
 *   NOCHECK  a node sends chains without checking that their parts cover the layers
 */
#define ENGINES 2
#define FIRST 1         /* the first layer, as a set */
#define SECOND 2
#define BOTH 3

/* TOLD: the parts of the chain are held in the node's view. CHECKED: the parts contain
   each layer once. */
#define TOLD ((told[first] & firstLayers) == firstLayers && (told[second] & secondLayers) == secondLayers)
#ifdef NOCHECK
#define CHECKED true
#else
#define CHECKED ((firstLayers | secondLayers) == BOTH && (firstLayers & secondLayers) == 0)
#endif

byte held[ENGINES];     /* layers that each engine holds */
byte taken[ENGINES];    /* orders that it has taken since its start */
byte name[ENGINES];     /* its incarnation */
byte lastMade[ENGINES]; /* when the newest order that it carried out was decided */
byte made = 0;          /* decisions so far */
bool lost = false;

proctype planner(byte most) {
	byte engine, count, who, when, layers;
	byte rounds = 0;
	do
	:: rounds < most ->
		rounds++;
		if :: engine = 0 :: engine = 1 fi;
		if :: layers = FIRST :: layers = SECOND :: layers = BOTH fi;
		atomic { count = taken[engine]; who = name[engine]; made++; when = made }
		/* The order may be delayed by any time at this point. */
		if
		:: atomic {
			if
#ifdef NOCOUNT
			:: name[engine] == who ->
#else
#ifdef NONAME
			:: taken[engine] == count ->
#else
			:: taken[engine] == count && name[engine] == who ->
#endif
#endif
				assert(when > lastMade[engine]);
				assert(name[engine] == who);
				lastMade[engine] = when;
				taken[engine]++;
				held[engine] = layers
			:: else -> skip
			fi
		   }
		:: skip
		fi
	:: break
	od
}

proctype loss() {
	byte engine;
	if :: engine = 0 :: engine = 1 fi;
	atomic {
		held[engine] = 0;
		taken[engine] = 0;
		name[engine]++;
		lost = true
	}
}

/* node builds a chain of two parts and sends it. */
proctype node() {
	byte first, second, firstLayers, secondLayers, ran = 0;
	byte told[ENGINES], who[ENGINES];
	atomic { told[0] = held[0]; who[0] = name[0] }
	atomic { told[1] = held[1]; who[1] = name[1] }
	if :: first = 0; second = 1 :: first = 1; second = 0 fi;
	if :: firstLayers = FIRST :: firstLayers = BOTH fi;
	if :: secondLayers = 0 :: secondLayers = SECOND :: secondLayers = BOTH fi;
	if
	:: TOLD && CHECKED ->
		/* Each engine checks its part when the request arrives. */
		atomic {
			if
#ifdef NONAME
			:: (held[first] & firstLayers) == firstLayers -> ran = firstLayers
#else
			:: name[first] == who[first] && (held[first] & firstLayers) == firstLayers -> ran = firstLayers
#endif
			:: else -> goto refused
			fi
		}
		atomic {
			if
			:: (held[second] & secondLayers) == secondLayers ->
				assert((ran & secondLayers) == 0);
				ran = ran | secondLayers;
				assert(ran == BOTH)
			:: else -> skip
			fi
		}
	:: else -> skip
	fi;
refused:
	skip
}

init {
	atomic {
		held[0] = FIRST; held[1] = SECOND;
		run planner(2); run planner(1); run loss(); run node()
	}
}
