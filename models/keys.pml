/*
 * A key that was taken away is not used for longer than the bound, on the users'
 * platform.
 *
 * The operator takes a key away in the store. A reader asks the store; a follower
 * asks the reader, which tells what it knows and how old its proof is; the
 * follower decides requests and writes them to an engine. Time passes between any
 * two steps, so every process may stand still anywhere, and every message may be
 * late.
 *
 * Mechanism: a proof counts from the sending of the question that brought it,
 * less the age that the reader gives, and is looked at again at the write,
 * together with the version that decided.
 *
 * Variants, each of which must fail:
 *   ARRIVAL    the follower counts from when the answer arrives
 *   NOAGE      the follower leaves the reader's age out
 *   NORECHECK  the write does not look again
 *   NOVERSION  the write looks only at how fresh the newest version is
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

proctype time() {
	do
	:: now < MAXTIME -> now++
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
		sent = now;
		atomic { told = readerRevoked; age = now - readerProof }
		if
		:: age <= VOUCH ->
			atomic {
#ifdef ARRIVAL
				proof = now - age;
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
	atomic { decided = !followerRevoked && now - followerProof <= BOUND }
	if
	:: decided ->
		atomic {
			if
#ifdef NORECHECK
			:: true ->
#else
#ifdef NOVERSION
			:: now - followerProof <= BOUND ->
#else
			:: now - followerProof <= BOUND && !followerRevoked ->
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
