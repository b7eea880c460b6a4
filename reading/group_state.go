package reading

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// groupState summarizes the group at one time.
type groupState struct {
	// nodes is the number of nodes that are present, including this one.
	nodes int
	// reader is the first node by rank that can be followed, or empty. Nodes within their
	// recoveryPeriod count only if there is no other. It is this node if this node has not lost
	// the store and no such node has a higher rank.
	reader string
	// nodesAhead is the number of nodes with a higher rank than this node that cannot be
	// followed.
	nodesAhead int
	// failedReaders is the number of nodes in back-off after they failed this one as its
	// reader.
	failedReaders int
}

// groupState returns the current state of the group and updates the timers that depend on it. The
// caller holds the lock.
func (r *Roster) groupState(now clock.Millis) groupState {
	r.expireBackoffs(now)
	s := r.survey(now)
	if s.failedReaders >= maxFailedReaders && !r.storeLost {
		s.reader = r.self.GetName()
	}
	r.updateTimers(now, s)
	return s
}

// survey counts the nodes of the group and finds the first by rank that can be followed. The
// caller holds the lock.
func (r *Roster) survey(now clock.Millis) groupState {
	s := groupState{nodes: 1}
	var preferred, recovering string
	consider := func(name string, recoveringUntil clock.Millis) {
		if now < recoveringUntil {
			recovering = r.higherRanked(recovering, name)
		} else {
			preferred = r.higherRanked(preferred, name)
		}
	}
	if !r.storeLost {
		consider(r.self.GetName(), r.recoveringUntil)
	}
	timeout := r.extend(statusTimeout)
	for name, status := range r.statuses {
		if now > status.receivedAt.Add(timeout) {
			delete(r.statuses, name)
			continue
		}
		if r.group[name] == nil {
			continue
		}
		s.nodes++
		backoff := r.inBackoff(now, name)
		switch {
		case status.followable && !backoff:
			consider(name, status.recoveringUntil)
		case r.ranks[name] < r.ranks[r.self.GetName()]:
			s.nodesAhead++
		}
		if backoff {
			s.failedReaders++
		}
	}
	s.reader = cmp.Or(preferred, recovering)
	if r.fullMesh() {
		return s
	}
	// Only hubs receive statuses of all nodes; leaves receive those of the hubs.
	s.nodes = len(r.ranked)
	if !slices.Contains(r.hubs(now), r.self.GetName()) {
		s.nodesAhead = max(s.nodesAhead, probingNodes)
	}
	return s
}

// higherRanked returns the higher-ranked of two nodes. An empty name means no node.
func (r *Roster) higherRanked(a, b string) string {
	if a == "" || r.ranks[b] < r.ranks[a] {
		return b
	}
	return a
}

// updateTimers records since when enough nodes have been present, and since when no other node
// could be followed. The caller holds the lock.
func (r *Roster) updateTimers(now clock.Millis, s groupState) {
	switch {
	case s.nodes < MinNodes:
		r.enoughSince = clock.Never
	case r.enoughSince == clock.Never:
		r.enoughSince = now
	}
	hasReader := s.reader != "" && s.reader != r.self.GetName()
	switch {
	case hasReader:
		r.noReaderSince = clock.Never
	case r.noReaderSince == clock.Never:
		r.noReaderSince = now
	}
}

// inBackoff reports whether a node is not followed at present because it has failed this one as
// its reader. The caller holds the lock.
func (r *Roster) inBackoff(now clock.Millis, name string) bool {
	until, ok := r.backoffUntil[name]
	if r.storeLost {
		until = until.Sub(settleTime).Add(backoffStoreLost)
	}
	return ok && now < until
}

// tooFewNodes reports whether the group is too small for one node to read for the others.
func (r *Roster) tooFewNodes(s groupState) bool { return s.nodes < MinNodes }

// probeTime returns when this node may probe the store if no other node can be followed.
func (r *Roster) probeTime(s groupState) clock.Millis {
	return max(r.probeTimeByRank(s), r.enoughSince.Add(claimDelay))
}

// probeTimeByRank returns the probe time from the node's rank alone: the highest-ranked
// probingNodes nodes probe one after the other, and the remaining ones after the full failover
// wait.
func (r *Roster) probeTimeByRank(s groupState) clock.Millis {
	since := r.noReaderSince
	if len(r.backoffUntil) > 0 {
		since = min(since, r.failedSince)
	}
	if s.nodesAhead >= probingNodes {
		return since.Add(r.failoverWait)
	}
	return since.Add(min(clock.Millis(s.nodesAhead)*probeInterval, r.failoverWait))
}
