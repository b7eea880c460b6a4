package fleet

// NoteIncarnation records that an incarnation exists, and returns the earlier one of the same
// upstream as terminated if the view contained it. The new incarnation is added once it is
// listed.
func (v *View) NoteIncarnation(incarnation Incarnation) []Change {
	earlier, later := v.newestStarts.record(incarnation)
	if !later {
		return nil
	}
	if !v.drop(earlier) {
		return nil
	}
	return []Change{{ID: earlier, Gone: true, Ended: true}}
}

// NoteReplacement records that another upstream answered at an address in place of an
// incarnation, and returns the incarnation as terminated if the view had it at that address.
func (v *View) NoteReplacement(id Incarnation, address string) []Change {
	known := v.upstreams[id]
	if known == nil || known.Address != address {
		return nil
	}
	v.replacedAt[id] = address
	v.remove(id)
	return []Change{{ID: id, Gone: true, Ended: true}}
}

// MarkLeaving records that an upstream reported that it is leaving, which overrides its entry.
// It returns the upstream as leaving if this is a change. An upstream that is added later is
// leaving from the start.
func (v *View) MarkLeaving(id Incarnation) []Change {
	if v.seenLeaving[id] || v.isTerminated(id) {
		return nil
	}
	v.seenLeaving[id] = true
	known := v.upstreams[id]
	if known == nil {
		return nil
	}
	u := *known
	u.Leaving = true
	v.upstreams[id] = &u
	return []Change{{ID: id, Upstream: u}}
}

// terminateEarlier terminates incarnations for which the changes contain a later one, and
// returns them as removed.
func (v *View) terminateEarlier(changes []Change) []Change {
	var removed []Change
	for _, c := range changes {
		if !c.Gone && v.check(c) == nil {
			removed = append(removed, v.NoteIncarnation(c.ID)...)
		}
	}
	return removed
}

// IncarnationOf returns the incarnation that a change is about. Removed and unreadable entries
// contain no start time; they refer to the latest known incarnation.
func (v *View) IncarnationOf(c Change) Incarnation {
	if (c.Gone || c.Unreadable) && c.ID.StartedAt() == 0 {
		return v.newestStarts.newest(c.ID)
	}
	return c.ID
}

// terminateAtReusedAddress terminates incarnations that are leaving or have no entry, and at
// whose address the changes list a new incarnation. It returns them as removed. Their processes
// have terminated, even if their entries remain or may reappear after an outage. An incarnation
// with an entry stays beside the new one, since either entry may have been written by mistake.
// The answer to a request shows which of the two is at the address.
func (v *View) terminateAtReusedAddress(changes []Change) []Change {
	leavingOrGone := make(map[Incarnation]bool)
	for _, c := range changes {
		leavingOrGone[v.IncarnationOf(c)] = c.Gone || c.Upstream.Leaving || c.Upstream.Lapsed
	}
	var removed []Change
	for _, c := range changes {
		old := v.byAddress[c.Upstream.Address]
		if v.check(c) != nil || v.HasEntry(old) && !v.upstreams[old].Leaving && !leavingOrGone[old] {
			continue
		}
		if c.Gone || c.Unreadable || c.Upstream.Lapsed || c.Upstream.Address == "" || old.IsZero() || old == c.ID || v.upstreams[c.ID] != nil || v.isTerminated(c.ID) {
			continue
		}
		if v.markTerminated(old) {
			removed = append(removed, Change{ID: old, Gone: true})
		}
	}
	return removed
}

// markTerminated records that an incarnation has terminated, and reports whether the view
// contained it.
func (v *View) markTerminated(i Incarnation) bool {
	v.terminated[i] = true
	return v.drop(i)
}

// drop removes an incarnation, and reports whether the view contained it.
func (v *View) drop(i Incarnation) bool {
	known := v.Contains(i)
	v.remove(i)
	return known
}

// isTerminated reports whether an incarnation is known to have terminated. Later reports about
// it are ignored.
func (v *View) isTerminated(i Incarnation) bool {
	return v.terminated[i] || v.newestStarts.superseded(i)
}
