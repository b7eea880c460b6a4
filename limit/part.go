package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Parts of a limit that are handed out by nodes that may not be the only ones.
const (
	// fractionMinority is that of a node that hears less than half of the nodes.
	fractionMinority = 0.25
	// fractionActing is that of one in the place of an owner that does not answer it, after
	// actingAfter, and of one that has just become the owner, for handoverPeriod. After removedAfter
	// it is all.
	fractionActing              = 0.45
	actingAfter    clock.Millis = 3000
	handoverPeriod clock.Millis = 2000
)

// fractionByRank are the parts by the place in the order while the owner may be there: others
// may still be served by it.
var fractionByRank = [maxCandidates]float64{1, 1.0 / 8, 1.0 / 16}

// fraction is the part of an upstream's limit that this node may hand out now. One that stands
// in for others asks them whether they are there.
func (k *Limiter) fraction(now clock.Millis, upstream fleet.Incarnation) (float64, []AskCmd) {
	s := k.upstreamState(upstream)
	order := k.candidates(s)
	place := slices.Index(order, k.self)
	part, cmds := 0.0, []AskCmd(nil)
	switch {
	case place == 0:
		part = 1
		if now < s.ownerSince.Add(handoverPeriod) && len(k.members.names) > 1 {
			// Another may have handed out until now. Who was the owner before goes on:
			// where nodes come and go each second, nobody would ever hand out all.
			part = fractionActing
		}
	case place > 0:
		var silent clock.Millis
		silent, cmds = k.probePredecessors(now, s, order[:place])
		part = fractionByRank[place]
		if silent >= removedAfter {
			part = 1
		} else if silent >= actingAfter {
			part = fractionActing
		}
	default:
		// Whoever asks knows other nodes than this one.
		part = fractionByRank[maxCandidates-1]
	}
	if k.members.inMinority(now) {
		part *= fractionMinority
	}
	return part, cmds
}

// probePredecessors asks those that come first in an upstream's order whether they are there, and
// returns for how long none of them has answered.
func (k *Limiter) probePredecessors(now clock.Millis, s *upstreamState, others []string) (clock.Millis, []AskCmd) {
	var cmds []AskCmd
	silent := removedAfter
	for _, name := range others {
		lasted, ask := k.members.probe(now, name)
		silent = min(silent, lasted)
		if ask {
			cmds = append(cmds, AskCmd{To: name, Ask: Ask{Upstream: s.upstream, Life: k.bootID, Named: s.advertised}})
		}
	}
	return silent, cmds
}
