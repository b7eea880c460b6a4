/*
 * A store that is restored from a backup, an operator who rewrites lost versions, a
 * node that reads the store and a node that follows the reader.
 *
 * The store counts revisions. It may be backed up and restored at any time: a restore
 * resets the revision, so that revisions are assigned again, and increments the era.
 * The operator writes versions, and rewrites the newest version if the store returns an
 * older one. The reader waits for changes after a revision, or reads the full contents.
 * The follower polls the reader, and may restart.
 *
 * Mechanism: the reader continues from a revision only within the same era. A node
 * replaces its active version only with a higher one. The follower sends its version to
 * the reader, not a revision.
 *
 * Promise: once the store returns the newest version, it becomes active at both nodes
 * with their next calls, and neither node ever reverts to an older version.
 *
 * Variants, each of which must fail:
 *   CURSOR  the reader continues from a revision of another era
 *   MAXIMUM the reader forwards only versions read at a higher revision
 *   OBEY    a node activates any version that the store returns
 */
#define VERSIONS 3
#define ROWS 2
#define RETURNS 2

byte rev = 1, ver = 1, verAt = 1, era = 1;      /* the store */
byte copyRev = 1, copyVer = 1, copyVerAt = 1;   /* the backup of the store */
byte newest = 1;                                /* confirmed by the operator */
byte rows = 0, returns = 0;

byte cursorEra = 1, cursor = 1;                 /* the reader's position in the store */
byte reads = 1;                                 /* active at the reader */
byte passes = 1, passedAt = 1;                  /* forwarded to followers */
byte follows = 1, followsMost = 1;              /* active at the follower */
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
		:: cursor > rev -> whole()                  /* the cursor is ahead of the store */
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
