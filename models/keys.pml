/*
 * A key that was taken away is not used for longer than the bound, on the users'
 * platform.
 *
 * The operator takes a key away in the store. A reader asks the store; a follower
 * asks the reader, which tells what it knows and how old its proof is; the
 * follower decides requests and writes them to an engine. Time passes between any
 * two steps, so every process may stand still anywhere, and every message may be
 * late. A VM may also be suspended: time passes, and its steady clock stands still.
 *
 * Mechanism: a proof counts from the sending of the question that brought it,
 * less the age that the reader gives, and is looked at again at the write,
 * together with the version that decided. All is counted in a clock that goes on
 * while the VM is suspended.
 *
 * Variants, each of which must fail:
 *   ARRIVAL    the follower counts from when the answer arrives
 *   NOAGE      the follower leaves the reader's age out
 *   NORECHECK  the write does not look again
 *   NOVERSION  the write looks only at how fresh the newest version is
 *   STEADY     the follower counts in its steady clock
 */
#define MAXTIME 6
#define BOUND 2         /* for how long a key may be used */
#define VOUCH 1         /* how old the reader's proof may be when it answers */
#define ROUNDS 2

short now = 0;
bool revoked = false;   /* in the store */
short revokedAt = 0;

bool readerRevoked = false;
short readerProof = 0;

bool followerRevoked = false;
short followerProof = 0;

inline raise(known, newer) {
	if
	:: newer > known -> known = newer
	:: else -> skip
	fi
}

/* What the follower's clock tells. */
#ifdef STEADY
#define HERE (now - suspended)
#else
#define HERE now
#endif

short suspended = 0;    /* for how long its VM was suspended in all */

proctype time() {
	do
	:: now < MAXTIME -> now++
	:: now < MAXTIME -> atomic { now++; suspended++ }
	:: break
	od
}

proctype operator() {
	atomic { revoked = true; revokedAt = now }
}

proctype reader() {
	short sent;
	bool seen;
	byte rounds = 0;
	do
	:: rounds < ROUNDS ->
		rounds++;
		sent = now;
		seen = revoked;
		atomic {
			readerRevoked = readerRevoked || seen;
			raise(readerProof, sent)
		}
	:: break
	od
}

proctype asker() {
	short sent, age, proof;
	bool told;
	byte rounds = 0;
	do
	:: rounds < ROUNDS ->
		rounds++;
		sent = HERE;
		atomic { told = readerRevoked; age = now - readerProof }
		if
		:: age <= VOUCH ->
			atomic {
#ifdef ARRIVAL
				proof = HERE - age;
#else
#ifdef NOAGE
				proof = sent;
#else
				proof = sent - age;
#endif
#endif
				followerRevoked = followerRevoked || told;
				raise(followerProof, proof)
			}
		:: else -> skip
		fi
	:: break
	od
}

proctype sender() {
	bool decided;
	atomic { decided = !followerRevoked && HERE - followerProof <= BOUND }
	if
	:: decided ->
		atomic {
			if
#ifdef NORECHECK
			:: true ->
#else
#ifdef NOVERSION
			:: HERE - followerProof <= BOUND ->
#else
			:: HERE - followerProof <= BOUND && !followerRevoked ->
#endif
#endif
				assert(!revoked || now - revokedAt <= BOUND)
			:: else -> skip
			fi
		}
	:: else -> skip
	fi
}

init {
	atomic { run time(); run operator(); run reader(); run asker(); run sender() }
}
