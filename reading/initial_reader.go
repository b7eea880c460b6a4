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
	// unreachableWait is how long a starting node goes on trying to connect to the candidates in
	// turn, and furtherUnreachableWait what each candidate but one adds to that. Until then their
	// VMs may be starting too. An attempt takes 100 ms, so a node reads the store after 400 ms if
	// there is one candidate, and after 600 ms if there are two.
	unreachableWait        clock.Millis = 350
	furtherUnreachableWait clock.Millis = 250
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
	candidates := r.initialReaders(now)
	if len(candidates) == 0 {
		return nil, false
	}
	if r.initialReadSince == clock.Never {
		r.initialReadSince = now
	}
	return r.chosenInitialReader(candidates), false
}

// InitialReaderUnreachable records that no connection to a node that InitialReader has returned
// could be opened in time. The next candidate is tried, and later the same one again. Once the
// wait for all of them is over, they count as failed.
func (r *Roster) InitialReaderUnreachable(now clock.Millis, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.initialReaders(now)
	switch {
	case len(candidates) == 0:
	case now >= r.initialReadSince.Add(unreachableWait+clock.Millis(len(candidates)-1)*furtherUnreachableWait):
		for _, m := range candidates {
			r.readerFailed(now, m.GetName())
		}
	case r.chosenInitialReader(candidates).GetName() == name:
		// The reads of the configuration and of the list fail one after the other. Only the
		// first failure selects another candidate.
		r.skippedReaders++
	}
}

// initialReaders returns the candidates for the initial reading. The caller holds the lock.
func (r *Roster) initialReaders(now clock.Millis) []*wire.Member {
	if r.self.GetStrength() == 0 {
		return nil
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
	return candidates
}

// chosenInitialReader returns the candidate to ask next. The caller holds the lock.
func (r *Roster) chosenInitialReader(candidates []*wire.Member) *wire.Member {
	return candidates[(r.nameHash+r.skippedReaders)%uint64(len(candidates))]
}
