package quarantine

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// minClaim is the evidence, in nats, from which a part is quarantined: some dozens of parts were
	// lost at an upstream that crashed, and one of them coincides with three crashes by chance less
	// than once in a hundred times.
	minClaim = 9.0
	// minKnownClaim is the same for a part that has been answered lately. Such parts rarely begin to
	// crash upstreams, and many requests depend on them.
	minKnownClaim = 14.0
	// minSuspectClaim is the evidence from which a part is suspected.
	minSuspectClaim = 5.0
	// claimMargin is by how much the claim against a part must exceed that against anything else
	// that was lost, while there is no more than the least number of crashes.
	claimMargin = 2.0
)

// partCrashThreshold is how many crashes are enough for two requests with a part. The users allow so
// many before the part must be quarantined.
const partCrashThreshold = 5

// claim is the evidence against a request or a part: how unlikely it is that it was at the upstreams
// that crashed by chance, given the share of answered requests that have it and how many requests
// were lost at each. In nats, a claim of 3 is a probability of 1 in 20. Whatever has been answered
// since a crash has no claim to it.
type claim struct {
	nats float64
	// requests is the number of different requests that were lost. Losses of one request are no
	// independent evidence against its parts, since it was retried where it had not been.
	requests int
	// known is set if a request with the part has been answered lately, before the crashes.
	known bool
}

// claim returns the evidence that some crashes are against an ID.
func (t *Table) claim(id work.ID, crashes []fleet.Incarnation) claim {
	return t.claimAt(id, crashes, t.share(id))
}

// share estimates the share of requests that have an ID: the largest that this node or another one
// has observed.
func (t *Table) share(id work.ID) float64 {
	share := t.answers.of(id).estimate()
	if s, ok := t.suspects.Peek(id); ok {
		share = max(share, s.peerShare)
	}
	return share
}

// claimAt returns the claim against an ID that a share of requests have.
func (t *Table) claimAt(id work.ID, crashes []fleet.Incarnation, share float64) claim {
	c := claim{requests: 1}
	for _, crash := range crashes {
		u, ok := t.upstreams.Peek(crash)
		if !ok {
			continue
		}
		present := 1 - math.Pow(1-share, float64(max(len(u.lost), 1)))
		c.nats -= math.Log(present)
	}
	if !id.IsPart() || len(crashes) == 0 {
		return c
	}
	if c.nats < minSuspectClaim {
		// Too little however many requests there are.
		return claim{nats: c.nats}
	}
	c.requests, c.known = t.requestsWith(id, crashes), t.answeredLately(id)
	c.nats *= min(1, float64(c.requests)/float64(len(crashes)))
	return c
}

// requestsWith returns the number of different requests with a part that were lost at some upstreams.
func (t *Table) requestsWith(part work.ID, crashes []fleet.Incarnation) int {
	counted := make(map[work.ID]bool)
	for _, crash := range crashes {
		u, ok := t.upstreams.Peek(crash)
		if !ok {
			continue
		}
		for id, lost := range u.lost {
			if lost.request.Has(part) {
				counted[id] = true
			}
		}
	}
	return len(counted)
}

// suffices reports whether a claim by some crashes is enough to quarantine a part. Two requests with it
// are enough where each of them crashed several upstreams.
func (c claim) suffices(crashes int) bool {
	threshold := minClaim
	if c.known {
		threshold = minKnownClaim
	}
	enough := c.requests >= crashThreshold || c.requests >= 2 && crashes >= partCrashThreshold
	return enough && c.nats >= threshold
}

// answeredLately reports whether a request with a part has been answered within the periods over which
// answers are counted, at this node or at one that reported it.
func (t *Table) answeredLately(part work.ID) bool {
	if t.answers.lastAt(part) != clock.Never {
		return true
	}
	s, ok := t.suspects.Peek(part)
	return ok && (s.answeredAt != clock.Never || s.peerShare > 0)
}

// suspicious reports whether a claim is enough to suspect a part.
func (c claim) suspicious() bool { return c.requests >= 2 && c.nats >= minSuspectClaim }

// strongestAt reports whether the claim against an ID exceeds, by a margin, that against anything
// else that was lost at one of its crashes. Without a margin, the smaller ID wins a tie.
func (t *Table) strongestAt(id work.ID, c claim, crashes []fleet.Incarnation, margin float64) bool {
	for _, crash := range crashes {
		if u, ok := t.upstreams.Peek(crash); ok && !t.hasStrongerRival(id, c, crash, u, margin) {
			return true
		}
	}
	return false
}

func (t *Table) hasStrongerRival(id work.ID, c claim, crash fleet.Incarnation, u *upstream, margin float64) bool {
	for rival := range u.lostIDs() {
		if rival != id && t.outranks(rival, id, c, crash, margin) {
			return true
		}
	}
	return false
}

// outranks reports whether a rival explains a crash at least as well as an ID with a claim.
func (t *Table) outranks(rival, id work.ID, c claim, crash fleet.Incarnation, margin float64) bool {
	s, ok := t.suspects.Peek(rival)
	if !ok {
		return false
	}
	if l, lost := s.losses[crash]; !lost || l.explained {
		return false
	}
	other := t.claim(rival, t.crashes(rival, false)).nats
	if margin == 0 && other == c.nats {
		return rival.Compare(id) < 0
	}
	return other+margin > c.nats
}
