package fleet

// NoteIncarnation notes that somebody has heard of a run of an upstream, and returns the
// earlier one as ended if it was known. The run itself counts once the list shows it.
func (v *View) NoteIncarnation(run Incarnation) []Change {
	earlier, later := v.newestStarts.record(run)
	if !later {
		return nil
	}
	if !v.drop(earlier) {
		return nil
	}
	return []Change{{ID: earlier, Gone: true, Ended: true}}
}

// NoteReplacement notes that another upstream has answered at an address in place of an incarnation,
// and returns that as ended if it was thought to be there.
func (v *View) NoteReplacement(id Incarnation, address string) []Change {
	known := v.upstreams[id]
	if known == nil || known.Address != address {
		return nil
	}
	v.replacedAt[id] = address
	v.remove(id)
	return []Change{{ID: id, Gone: true, Ended: true}}
}

// MarkLeaving notes that an upstream has said that it is leaving, whatever its entry says, and
// returns it as leaving if it was known as something else. One that is not known yet is
// leaving once it is.
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

// terminateEarlier ends the incarnations that entries name a later run of.
func (v *View) terminateEarlier(changes []Change) []Change {
	var ended []Change
	for _, c := range changes {
		if !c.Gone && !v.hasUnknownService(c) {
			ended = append(ended, v.NoteIncarnation(c.ID)...)
		}
	}
	return ended
}

// IncarnationOf returns the incarnation that a change is about. Where an entry is gone, or cannot
// be read, nothing says of which run it was: of the latest.
func (v *View) IncarnationOf(c Change) Incarnation {
	if (c.Gone || c.Unreadable) && c.ID.StartedAt() == 0 {
		return v.newestStarts.newest(c.ID)
	}
	return c.ID
}

// terminateAtReusedAddress ends the incarnations without an entry, or that are leaving, that were known at
// an address at which a new one is, and returns them: whether their entries linger or may
// come back after an outage, their processes are gone. One that is listed stays beside the
// new one: either may come from another writer, and who is asked as the one that it is not
// says so.
func (v *View) terminateAtReusedAddress(changes []Change) []Change {
	over := make(map[Incarnation]bool)
	for _, c := range changes {
		over[v.IncarnationOf(c)] = c.Gone || c.Upstream.Leaving || c.Upstream.Lapsed
	}
	var displaced []Change
	for _, c := range changes {
		old := v.byAddress[c.Upstream.Address]
		if v.hasUnknownService(c) || v.HasEntry(old) && !v.upstreams[old].Leaving && !over[old] {
			continue
		}
		if c.Gone || c.Unreadable || c.Upstream.Lapsed || c.Upstream.Address == "" || old.IsZero() || old == c.ID || v.upstreams[c.ID] != nil || v.isTerminated(c.ID) {
			continue
		}
		if v.markTerminated(old) {
			displaced = append(displaced, Change{ID: old, Gone: true})
		}
	}
	return displaced
}

// markTerminated notes that an incarnation has ended, and returns whether it was known.
func (v *View) markTerminated(i Incarnation) bool {
	v.terminated[i] = true
	return v.drop(i)
}

// drop removes an incarnation, and returns whether it was known.
func (v *View) drop(i Incarnation) bool {
	known := v.Contains(i)
	v.remove(i)
	return known
}

// isTerminated tells whether an incarnation has ended for certain, whatever is said of it.
func (v *View) isTerminated(i Incarnation) bool {
	return v.terminated[i] || v.newestStarts.superseded(i)
}
