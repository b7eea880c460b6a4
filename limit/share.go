package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// upstreamState is what a node knows of one upstream's limit, and what it may send there.
type upstreamState struct {
	upstream   fleet.Incarnation
	advertised Named
	// permits count until permitsExpireAt, and queue is how many were wanted by all nodes in
	// vain when the last answer came.
	permits         int
	permitsExpireAt clock.Millis
	nextPermitAt    clock.Millis
	denied          int
	// sentLocally is what this node has sent, and known the part of it that whoever it asks knows
	// of.
	sentLocally History
	reported    History

	// candidates are those that may hand out permits, by the names of a version.
	candidates        []string
	candidatesVersion int
	// ownerSince is since when the first of them has been the first.
	ownerSince clock.Millis

	// The question under way: to whom, since when, asked last at, and how often there.
	requesting      bool
	granter         string
	seq             uint64
	wanted          int
	requestedAt     clock.Millis
	lastSentAt      clock.Millis
	attempts        int
	pendingReport   []uint32
	pendingReportAt clock.Millis
}

// owner is who hands out permits; empty before that is known.
func (s *upstreamState) owner() string {
	if len(s.candidates) == 0 {
		return ""
	}
	return s.candidates[0]
}

// permitInterval is after how long a permit falls due by the whole of the limit. Whoever hands out a part
// only, in an owner's place, tells of longer; the owner may be there by then.
func (s *upstreamState) permitInterval() clock.Millis {
	if s.advertised.Rate == 0 {
		return 0
	}
	return clock.Millis(math.Ceil(msPerSecond / (s.advertised.Rate * grantedShare)))
}

// apply takes in a newer word on the limit, and returns whether it is another number.
func (s *upstreamState) apply(now clock.Millis, word Named) bool {
	changed := word.Rate != s.advertised.Rate
	if s.advertised.Rate == 0 && word.Rate > 0 {
		s.sentLocally.DropBefore(now, word.ReceivedAt.Sub(countedBefore))
	}
	if changed {
		s.nextPermitAt = min(s.nextPermitAt, now)
	}
	if word.Rate == 0 {
		s.permits, s.requesting, s.nextPermitAt = 0, false, 0
	}
	s.advertised = word
	return changed
}

// beginRequest begins a question.
func (s *upstreamState) beginRequest(now clock.Millis, want int) {
	s.requesting, s.wanted, s.requestedAt, s.attempts = true, want, now, 0
	s.seq++
	s.pendingReport = nil
}

// switchGranter has the question go to a node, as a new one. A node that was not asked before knows
// nothing of what was sent.
func (s *upstreamState) switchGranter(now clock.Millis, to string) {
	if s.attempts > 0 {
		s.beginRequest(now, s.wanted)
	}
	if s.granter != to {
		s.granter, s.reported = to, History{}
	}
}

// failRequest ends a question that nobody answers.
func (s *upstreamState) failRequest(now clock.Millis) {
	s.requesting = false
	s.nextPermitAt = now.Add(failurePause)
}

// unreported returns what was sent that whoever is asked does not know of. A question that
// is repeated tells the same.
func (s *upstreamState) unreported(now clock.Millis) []uint32 {
	if s.attempts <= 1 {
		s.pendingReport, s.pendingReportAt = s.sentLocally.Minus(now, &s.reported), now
	}
	return s.pendingReport
}

// applyGrant takes the answer to the question.
func (s *upstreamState) applyGrant(now clock.Millis, grant Grant) {
	s.requesting = false
	s.reported.AddCounts(s.pendingReportAt, s.pendingReport)
	s.nextPermitAt, s.denied = 0, grant.Queue
	if grant.Permits < s.wanted || grant.NextIn > 0 {
		s.nextPermitAt = now.Add(max(min(grant.NextIn, s.permitInterval()), 1))
	}
	if until := s.requestedAt.Add(permitLifetime); grant.Permits > 0 && now <= until {
		if now > s.permitsExpireAt {
			s.permits = 0
		}
		s.permits, s.permitsExpireAt = s.permits+grant.Permits, max(s.permitsExpireAt, until)
	}
}
