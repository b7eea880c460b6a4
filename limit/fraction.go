package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Fractions of a limit that a node grants while other nodes may grant permits for it too.
const (
	// fractionMinority applies to a node that can reach less than half of the nodes.
	fractionMinority = 0.25
	// fractionActing applies to a node that acts for an owner that has not answered its probes
	// for actingAfter, and to a new owner for handoverPeriod. After removedAfter without an
	// answer, an acting node grants the whole limit.
	fractionActing              = 0.45
	actingAfter    clock.Millis = 3000
	handoverPeriod clock.Millis = 2000
)

// fractionByRank holds the fraction of each candidate, by rank, while the owner may still be
// running and granting permits to other nodes.
var fractionByRank = [maxCandidates]float64{1, 1.0 / 8, 1.0 / 16}

// fraction returns the fraction of an upstream's limit that this node may grant now, and the
// probes to send to the candidates that rank before it.
func (l *Limiter) fraction(now clock.Millis, upstream fleet.Incarnation) (float64, []PermitRequestCmd) {
	s := l.upstreamState(upstream)
	candidates := l.candidates(s)
	rank := slices.Index(candidates, l.self)
	fraction, cmds := 0.0, []PermitRequestCmd(nil)
	switch {
	case l.unknownMembers:
		// Others know this node as a candidate, of which rank can't be told.
		fraction = fractionByRank[maxCandidates-1]
	case rank == 0:
		fraction = 1
		if now < s.ownerSince.Add(handoverPeriod) && len(l.members.names) > 1 {
			// The previous owner may still have been granting permits until now. A node that
			// stays the owner across a membership change keeps granting the whole limit:
			// otherwise, with a membership change each second, no node would ever do so.
			fraction = fractionActing
		}
	case rank > 0:
		var unanswered clock.Millis
		unanswered, cmds = l.probePredecessors(now, s, candidates[:rank])
		fraction = fractionByRank[rank]
		if unanswered >= removedAfter {
			fraction = 1
		} else if unanswered >= actingAfter {
			fraction = fractionActing
		}
	default:
		// The requesting node has a different member list, in which this node is a candidate.
		fraction = fractionByRank[maxCandidates-1]
	}
	if l.members.inMinority(now) {
		fraction *= fractionMinority
	}
	return fraction, cmds
}

// probePredecessors probes the candidates that rank before this node, and returns the time for
// which none of them has answered.
func (l *Limiter) probePredecessors(now clock.Millis, s *upstreamState, predecessors []string) (clock.Millis, []PermitRequestCmd) {
	var cmds []PermitRequestCmd
	unanswered := removedAfter
	for _, name := range predecessors {
		elapsed, due := l.members.probe(now, name)
		unanswered = min(unanswered, elapsed)
		if due {
			cmds = append(cmds, PermitRequestCmd{To: name, PermitRequest: PermitRequest{Upstream: s.upstream, BootID: l.bootID, Advertised: s.advertised}})
		}
	}
	return unanswered, cmds
}
