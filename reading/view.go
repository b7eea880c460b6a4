package reading

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// groupState is how the group stands.
type groupState struct {
	// nodes is how many there are, this one included.
	nodes int
	// reader is the first by rank that may be followed, empty for none; of those that
	// have the store again only where there is no other. It is this node where it has
	// not lost the store and no other comes before it.
	reader string
	// nodesAhead is how many of those that may not be followed come before this node by
	// rank.
	nodesAhead int
	// failedReaders is how many have failed this node lately.
	failedReaders int
}

// groupState looks at the group, and notes since when there has been nobody to follow.
// The caller holds the lock.
func (r *Roster) groupState(now clock.Millis) groupState {
	r.expireBackoffs(now)
	v := r.survey(now)
	if v.failedReaders >= maxFailedReaders && !r.storeLost {
		v.reader = r.self.GetName()
	}
	r.updateTimers(now, v)
	return v
}

// survey counts the nodes of the group, and finds the first that may be followed. The
// caller holds the lock.
func (r *Roster) survey(now clock.Millis) groupState {
	v := groupState{nodes: 1}
	var sure, doubtful string
	offer := func(name string, doubtedUntil clock.Millis) {
		if now < doubtedUntil {
			doubtful = r.higherRanked(doubtful, name)
		} else {
			sure = r.higherRanked(sure, name)
		}
	}
	if !r.storeLost {
		offer(r.self.GetName(), r.recoveringUntil)
	}
	for name, h := range r.statuses {
		if now > h.receivedAt.Add(statusTimeout) {
			delete(r.statuses, name)
			continue
		}
		if r.group[name] == nil {
			continue
		}
		v.nodes++
		refused := r.inBackoff(now, name)
		switch {
		case h.followable && !refused:
			offer(name, h.recoveringUntil)
		case r.ranks[name] < r.ranks[r.self.GetName()]:
			v.nodesAhead++
		}
		if refused {
			v.failedReaders++
		}
	}
	v.reader = cmp.Or(sure, doubtful)
	if r.fullMesh() {
		return v
	}
	// Only the hubs are heard here, or hear all.
	v.nodes = len(r.ranked)
	if !slices.Contains(r.hubs(now), r.self.GetName()) {
		v.nodesAhead = max(v.nodesAhead, probingNodes)
	}
	return v
}

// higherRanked returns the first by rank of two nodes; an empty name is none.
func (r *Roster) higherRanked(a, b string) string {
	if a == "" || r.ranks[b] < r.ranks[a] {
		return b
	}
	return a
}

// updateTimers notes since when there are enough nodes, and since when there has been nobody
// to follow. The caller holds the lock.
func (r *Roster) updateTimers(now clock.Millis, v groupState) {
	switch {
	case v.nodes < MinNodes:
		r.enoughSince = clock.Never
	case r.enoughSince == clock.Never:
		r.enoughSince = now
	}
	led := v.reader != "" && v.reader != r.self.GetName()
	switch {
	case led:
		r.noReaderSince = clock.Never
	case r.noReaderSince == clock.Never:
		r.noReaderSince = now
	}
}

// inBackoff tells whether a node is not followed for now since it has failed this one. The
// caller holds the lock.
func (r *Roster) inBackoff(now clock.Millis, name string) bool {
	until, ok := r.backoffUntil[name]
	if r.storeLost {
		until = until.Sub(settleTime).Add(backoffStoreLost)
	}
	return ok && now < until
}

// tooFewNodes tells whether there are too few nodes for one to read for all.
func (r *Roster) tooFewNodes(v groupState) bool { return v.nodes < MinNodes }

// probeTime is from when on this node tries the store while there is nobody to follow.
func (r *Roster) probeTime(v groupState) clock.Millis {
	return max(r.probeTimeByRank(v), r.enoughSince.Add(claimDelay))
}

func (r *Roster) probeTimeByRank(v groupState) clock.Millis {
	since := r.noReaderSince
	if len(r.backoffUntil) > 0 {
		since = min(since, r.failedSince)
	}
	if v.nodesAhead >= probingNodes {
		return since.Add(r.failoverWait)
	}
	return since.Add(min(clock.Millis(v.nodesAhead)*probeInterval, r.failoverWait))
}
