package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// upstreamState is a node's view of one upstream's limit and its permits for that upstream.
type upstreamState struct {
	upstream   fleet.Incarnation
	advertised Advertised
	// permits are valid until permitsExpireAt. denied is the number of permits that all nodes
	// were denied in the window, as the last grant reported it.
	permits         int
	permitsExpireAt clock.Millis
	nextPermitAt    clock.Millis
	denied          int
	// sentLocally counts the requests that this node sent. reported counts those of them that the
	// granter already has in its count.
	sentLocally History
	reported    History

	// candidates are the nodes that may grant permits, computed for the member list of
	// candidatesVersion.
	candidates        []string
	candidatesVersion int
	// ownerSince is when the first candidate became the owner.
	ownerSince clock.Millis

	// The pending permit request: the node it goes to, when it was created and last sent, and
	// how often it was sent to that node.
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

// owner returns the node that owns the upstream; empty before the candidates are computed.
func (s *upstreamState) owner() string {
	if len(s.candidates) == 0 {
		return ""
	}
	return s.candidates[0]
}

// permitInterval returns the time between two permits at the full rate of the limit. An acting
// node that grants only a fraction reports a longer one, but the owner may be back before that.
func (s *upstreamState) permitInterval() clock.Millis {
	if s.advertised.Rate == 0 {
		return 0
	}
	return clock.Millis(math.Ceil(msPerSecond / (s.advertised.Rate * grantedShare)))
}

// apply replaces the limit by a newer one, and reports whether the rate changed.
func (s *upstreamState) apply(now clock.Millis, newer Advertised) bool {
	changed := newer.Rate != s.advertised.Rate
	if s.advertised.Rate == 0 && newer.Rate > 0 {
		s.sentLocally.DropBefore(now, newer.ReceivedAt.Sub(countedBefore))
	}
	if changed {
		s.nextPermitAt = min(s.nextPermitAt, now)
	}
	if newer.Rate == 0 {
		s.permits, s.requesting, s.nextPermitAt = 0, false, 0
	}
	s.advertised = newer
	return changed
}

// beginRequest creates a permit request with a new sequence number.
func (s *upstreamState) beginRequest(now clock.Millis, permits int) {
	s.requesting, s.wanted, s.requestedAt, s.attempts = true, permits, now, 0
	s.seq++
	s.pendingReport = nil
}

// switchGranter directs the pending request to a node, as a new request if it was sent before.
// A new granter has no count of the requests that this node sent.
func (s *upstreamState) switchGranter(now clock.Millis, granter string) {
	if s.attempts > 0 {
		s.beginRequest(now, s.wanted)
	}
	if s.granter != granter {
		s.granter, s.reported = granter, History{}
	}
}

// failRequest drops a permit request that no candidate answered.
func (s *upstreamState) failRequest(now clock.Millis) {
	s.requesting = false
	s.nextPermitAt = now.Add(failurePause)
}

// unreported returns the counts of sent requests that the granter does not have yet. A request
// that is resent carries the same counts.
func (s *upstreamState) unreported(now clock.Millis) []uint32 {
	if s.attempts <= 1 {
		s.pendingReport, s.pendingReportAt = s.sentLocally.Minus(now, &s.reported), now
	}
	return s.pendingReport
}

// applyGrant applies the answer to the pending request.
func (s *upstreamState) applyGrant(now clock.Millis, grant Grant) {
	s.requesting = false
	s.reported.AddCounts(s.pendingReportAt, s.pendingReport)
	s.nextPermitAt, s.denied = 0, grant.Denied
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
