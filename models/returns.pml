/*
 * A store that comes back from a copy, an operator who writes again what was
 * lost, a node that reads the store and one that follows it.
 *
 * The store counts revisions. It may be copied at any time, and come back from
 * its copy: revisions go back and are given out again, and its era rises. The
 * operator writes versions, and again the newest where the store shows an
 * older one. The reader awaits changes after a revision, or reads the whole.
 * The follower asks the reader, and may restart.
 *
 * Mechanism: the reader goes on from a revision within its era only; what it
 * obeys is given up for a higher version alone; the follower names the version
 * that it has, not a revision.
 *
 * Once the store shows the newest version, both nodes obey it after the next
 * calls, and neither ever went back.
 *
 * Variants, each of which must fail:
 *   CURSOR  the reader goes on from a revision of another era
 *   MAXIMUM the reader passes on only what was read at a higher revision
 *   OBEY    a node obeys what the store shows
 */
#define VERSIONS 3
#define ROWS 2
#define RETURNS 2

byte rev = 1, ver = 1, verAt = 1, era = 1;      /* the store */
byte copyRev = 1, copyVer = 1, copyVerAt = 1;   /* its copy */
byte newest = 1;                                /* confirmed by the operator */
byte rows = 0, returns = 0;

byte cursorEra = 1, cursor = 1;                 /* the reader's */
byte reads = 1;                                 /* obeyed by the reader */
byte passes = 1, passedAt = 1;                  /* told those that follow */
byte follows = 1, followsMost = 1;              /* obeyed by the follower */
byte readsMost = 1;
bool settled = false;

inline obey(shown) {
#ifdef OBEY
	reads = shown;
#else
	if :: shown > reads -> reads = shown :: else -> skip fi;
#endif
	assert(reads >= readsMost);
	readsMost = reads
}

inline pass(shown) {
#ifdef MAXIMUM
	if :: rev > passedAt -> passes = shown; passedAt = rev :: else -> skip fi
#else
	passes = reads
#endif
}

inline whole() {
	obey(ver);
	pass(ver);
	cursorEra = era;
	cursor = rev
}

inline poll() {
	if
#ifndef CURSOR
	:: cursorEra != era -> whole()
	:: cursorEra == era ->
#else
	:: true ->
#endif
		if
		:: cursor > rev -> whole()                  /* the store has not got so far */
		:: cursor <= rev && verAt > cursor -> obey(ver); pass(ver); cursor = rev
		:: cursor <= rev && verAt <= cursor -> cursor = rev
		fi
	fi
}

inline ask() {
	if :: passes > follows -> follows = passes :: else -> skip fi;
	assert(follows >= followsMost);
	followsMost = follows
}

proctype platform() {
	do
	:: atomic { newest < VERSIONS && ver == newest -> newest++; rev++; ver = newest; verAt = rev }
	:: atomic { rows < ROWS -> rows++; rev++ }
	:: atomic { copyRev = rev; copyVer = ver; copyVerAt = verAt }
	:: atomic { returns < RETURNS -> returns++; era++; rev = copyRev; ver = copyVer; verAt = copyVerAt }
	:: atomic { ver < newest -> rev++; ver = newest; verAt = rev }
	:: atomic { ver == newest -> settled = true; break }
	od
}

proctype nodes() {
	do
	:: !settled -> atomic { poll() }
	:: !settled -> atomic { ask() }
	:: !settled -> atomic { follows = 0; followsMost = 0 }     /* the follower restarts */
	:: settled -> break
	od;
	atomic { poll(); poll(); ask() };
	assert(reads == newest);
	assert(follows == newest)
}

init { atomic { run platform(); run nodes() } }
