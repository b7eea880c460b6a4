package reading

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// minCapacityRatio is how many times the capacity of this node another node must have to
	// serve its initial reading: up to a hundred nodes that start together each fetch the full
	// list from it.
	minCapacityRatio = 4
	// maxInitialReaders is the number of such nodes among which starting nodes choose.
	maxInitialReaders = 6
)

// InitialReader returns the node from which this node fetches its initial reading, or nil to
// read the store. pending reports whether the caller should ask again because the other nodes
// of the group are not known yet.
func (r *Roster) InitialReader(now clock.Millis) (reader *wire.Member, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.groupKnown && now < r.startedAt.Add(r.startWait) {
		return nil, true
	}
	r.expireBackoffs(now)
	var candidates []*wire.Member
	for _, name := range r.ranked {
		m := r.group[name]
		if m == nil || m.GetStrength() < minCapacityRatio*r.self.GetStrength() || len(candidates) == maxInitialReaders {
			// The remaining nodes by rank have less capacity, or this is the node itself.
			break
		}
		if !r.inBackoff(now, name) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 || r.self.GetStrength() == 0 {
		return nil, false
	}
	return candidates[r.nameHash%uint64(len(candidates))], false
}
