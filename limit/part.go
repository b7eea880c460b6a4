package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Parts of a limit that are handed out by nodes that may not be the only ones.
const (
	// partCutOff is that of a node that hears less than half of the nodes.
	partCutOff = 0.25
	// partActing is that of one in the place of an owner that does not answer it, after
	// actsAfter, and of one that has just become the owner, for handoverFor. After lostAfter
	// it is all.
	partActing               = 0.45
	actsAfter   clock.Millis = 3000
	handoverFor clock.Millis = 2000
)

// partInPlace are the parts by the place in the order while the owner may be there: others
// may still be served by it.
var partInPlace = [owners]float64{1, 1.0 / 8, 1.0 / 16}

// part is the part of an upstream's limit that this node may hand out now. One that stands
// in for others asks them whether they are there.
func (k *Keeper) part(now clock.Millis, upstream fleet.Incarnation) (float64, []AskCmd) {
	s := k.share(upstream)
	order := k.order(s)
	place := slices.Index(order, k.self)
	part, cmds := 0.0, []AskCmd(nil)
	switch {
	case place == 0:
		part = 1
		if now < s.ownedSince.Add(handoverFor) && len(k.members.names) > 1 {
			// Another may have handed out until now. Who was the owner before goes on:
			// where nodes come and go each second, nobody would ever hand out all.
			part = partActing
		}
	case place > 0:
		var silent clock.Millis
		silent, cmds = k.doubtOthers(now, s, order[:place])
		part = partInPlace[place]
		if silent >= lostAfter {
			part = 1
		} else if silent >= actsAfter {
			part = partActing
		}
	default:
		// Whoever asks knows other nodes than this one.
		part = partInPlace[owners-1]
	}
	if k.members.cutOff(now) {
		part *= partCutOff
	}
	return part, cmds
}

// doubtOthers asks those that come first in an upstream's order whether they are there, and
// returns for how long none of them has answered.
func (k *Keeper) doubtOthers(now clock.Millis, s *share, others []string) (clock.Millis, []AskCmd) {
	var cmds []AskCmd
	silent := lostAfter
	for _, name := range others {
		lasted, ask := k.members.doubt(now, name)
		silent = min(silent, lasted)
		if ask {
			cmds = append(cmds, AskCmd{To: name, Ask: Ask{Upstream: s.upstream, Life: k.life, Named: s.named}})
		}
	}
	return silent, cmds
}
