/*
 * A revoked key is not used for longer than the bound, on the users' platform.
 *
 * The operator revokes a key in the store. A reader polls the store; a follower polls
 * the reader, which returns its configuration and the age of the call that confirmed
 * it. The follower decides on requests and writes them to an engine. Time may pass
 * between any two steps, so every process may pause anywhere and every message may be
 * delayed. A VM may also be suspended: time passes while its monotonic clock stops.
 *
 * Mechanism: the follower dates a confirmation to the time at which it sent its
 * request, minus the age reported by the reader. It checks the confirmation again at
 * the write, together with the version on which it decided. All times come from a
 * clock that continues while the VM is suspended.
 *
 * Variants, each of which must fail:
 *   ARRIVAL    the follower counts from the arrival of the response
 *   NOAGE      the follower ignores the age reported by the reader
 *   NORECHECK  the write does not check again
 *   NOVERSION  the write checks only the age of the newest version
 *   STEADY     the follower uses its monotonic clock
 */
#define MAXTIME 6
#define BOUND 2         /* how long a revoked key may be used */
#define VOUCH 1         /* maximum age of the reader's confirmation when it responds */
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

/* The time of the follower's clock. */
#ifdef STEADY
#define HERE (now - suspended)
#else
#define HERE now
#endif

short suspended = 0;    /* total time for which the follower's VM was suspended */

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
