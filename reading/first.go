package reading

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// minCapacityRatio is how much more than this node one must be able to do for its first
	// reading to be left to it: the whole list goes to each of some hundred nodes that start
	// together.
	minCapacityRatio = 4
	// maxInitialReaders is among how many such nodes those that start choose.
	maxInitialReaders = 6
)

// InitialReader returns the node from which this one, which has read nothing yet, reads first; nil
// where that is the store. Waits tells that others may be known soon.
func (r *Roster) InitialReader(now clock.Millis) (first *wire.Member, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.groupKnown && now < r.startedAt.Add(r.startWait) {
		return nil, true
	}
	r.expireBackoffs(now)
	var stronger []*wire.Member
	for _, name := range r.ranked {
		m := r.group[name]
		if m == nil || m.GetStrength() < minCapacityRatio*r.self.GetStrength() || len(stronger) == maxInitialReaders {
			// Those that follow by rank are weaker, or this node itself.
			break
		}
		if !r.inBackoff(now, name) {
			stronger = append(stronger, m)
		}
	}
	if len(stronger) == 0 || r.self.GetStrength() == 0 {
		return nil, false
	}
	return stronger[r.nameHash%uint64(len(stronger))], false
}
