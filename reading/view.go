package reading

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// view is how the group stands.
type view struct {
	// nodes is how many there are, this one included.
	nodes int
	// first is the first by rank that may be followed, empty for none; of those that
	// have the store again only where there is no other. It is this node where it has
	// not lost the store and no other comes before it.
	first string
	// before is how many of those that may not be followed come before this node by
	// rank.
	before int
	// refused is how many have failed this node lately.
	refused int
}

// view looks at the group, and notes since when there has been nobody to follow.
// The caller holds the lock.
func (r *Roster) view(now clock.Millis) view {
	r.forgetRefused(now)
	v := r.survey(now)
	if v.refused >= mostRefused && !r.away {
		v.first = r.self.GetName()
	}
	r.noteSince(now, v)
	return v
}

// survey counts the nodes of the group, and finds the first that may be followed. The
// caller holds the lock.
func (r *Roster) survey(now clock.Millis) view {
	v := view{nodes: 1}
	var sure, doubtful string
	offer := func(name string, doubtedUntil clock.Millis) {
		if now < doubtedUntil {
			doubtful = r.firstOf(doubtful, name)
		} else {
			sure = r.firstOf(sure, name)
		}
	}
	if !r.away {
		offer(r.self.GetName(), r.doubtedUntil)
	}
	for name, h := range r.heard {
		if now > h.at.Add(heardWithin) {
			delete(r.heard, name)
			continue
		}
		if r.group[name] == nil {
			continue
		}
		v.nodes++
		refused := r.refuses(now, name)
		switch {
		case h.followable && !refused:
			offer(name, h.doubtedUntil)
		case r.ranks[name] < r.ranks[r.self.GetName()]:
			v.before++
		}
		if refused {
			v.refused++
		}
	}
	v.first = cmp.Or(sure, doubtful)
	if r.meshed() {
		return v
	}
	// Only the hubs are heard here, or hear all.
	v.nodes = len(r.ranked)
	if !slices.Contains(r.hubs(now), r.self.GetName()) {
		v.before = max(v.before, firstToTry)
	}
	return v
}

// firstOf returns the first by rank of two nodes; an empty name is none.
func (r *Roster) firstOf(a, b string) string {
	if a == "" || r.ranks[b] < r.ranks[a] {
		return b
	}
	return a
}

// noteSince notes since when there are enough nodes, and since when there has been nobody
// to follow. The caller holds the lock.
func (r *Roster) noteSince(now clock.Millis, v view) {
	switch {
	case v.nodes < FewestNodes:
		r.grouped = clock.Never
	case r.grouped == clock.Never:
		r.grouped = now
	}
	led := v.first != "" && v.first != r.self.GetName()
	switch {
	case led:
		r.unledSince = clock.Never
	case r.unledSince == clock.Never:
		r.unledSince = now
	}
}

// refuses tells whether a node is not followed for now since it has failed this one. The
// caller holds the lock.
func (r *Roster) refuses(now clock.Millis, name string) bool {
	until, ok := r.refused[name]
	if r.away {
		until = until.Sub(settle).Add(refusedAway)
	}
	return ok && now < until
}

// alone tells whether there are too few nodes for one to read for all.
func (r *Roster) alone(v view) bool { return v.nodes < FewestNodes }

// turn is from when on this node tries the store while there is nobody to follow.
func (r *Roster) turn(v view) clock.Millis {
	return max(r.turnByRank(v), r.grouped.Add(claimAfter))
}

func (r *Roster) turnByRank(v view) clock.Millis {
	since := r.unledSince
	if len(r.refused) > 0 {
		since = min(since, r.failedSince)
	}
	if v.before >= firstToTry {
		return since.Add(r.patience)
	}
	return since.Add(min(clock.Millis(v.before)*turnEvery, r.patience))
}
