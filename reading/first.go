package reading

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// timesStronger is how much more than this node one must be able to do for its first
	// reading to be left to it: the whole list goes to each of some hundred nodes that start
	// together.
	timesStronger = 4
	// firstChoices is among how many such nodes those that start choose.
	firstChoices = 6
)

// First returns the node from which this one, which has read nothing yet, reads first; nil
// where that is the store. Waits tells that others may be known soon.
func (r *Roster) First(now clock.Millis) (first *wire.Member, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known && now < r.started.Add(r.startWait) {
		return nil, true
	}
	r.forgetRefused(now)
	var stronger []*wire.Member
	for _, name := range r.ranked {
		m := r.group[name]
		if m == nil || m.GetStrength() < timesStronger*r.self.GetStrength() || len(stronger) == firstChoices {
			// Those that follow by rank are weaker, or this node itself.
			break
		}
		if !r.refuses(now, name) {
			stronger = append(stronger, m)
		}
	}
	if len(stronger) == 0 || r.self.GetStrength() == 0 {
		return nil, false
	}
	return stronger[r.draw%uint64(len(stronger))], false
}
