package fleet

// Supersede notes that somebody has heard of a run of an upstream, and returns the
// earlier one as ended if it was known. The run itself counts once the list shows it.
func (v *View) Supersede(run Incarnation) []Change {
	earlier, later := v.latest.note(run)
	if !later {
		return nil
	}
	if !v.drop(earlier) {
		return nil
	}
	return []Change{{ID: earlier, Gone: true, Ended: true}}
}

// Replaced notes that another upstream has answered at an address in place of an incarnation,
// and returns that as ended if it was thought to be there.
func (v *View) Replaced(id Incarnation, address string) []Change {
	known := v.upstreams[id]
	if known == nil || known.Address != address {
		return nil
	}
	v.replaced[id] = address
	v.remove(id)
	return []Change{{ID: id, Gone: true, Ended: true}}
}

// Leave notes that an upstream has said that it is leaving, whatever its entry says, and
// returns it as leaving if it was known as something else. One that is not known yet is
// leaving once it is.
func (v *View) Leave(id Incarnation) []Change {
	if v.departed[id] || v.over(id) {
		return nil
	}
	v.departed[id] = true
	known := v.upstreams[id]
	if known == nil {
		return nil
	}
	u := *known
	u.Leaving = true
	v.upstreams[id] = &u
	return []Change{{ID: id, Upstream: u}}
}

// supersede ends the incarnations that entries name a later run of.
func (v *View) supersede(changes []Change) []Change {
	var ended []Change
	for _, c := range changes {
		if !c.Gone && !v.unserved(c) {
			ended = append(ended, v.Supersede(c.ID)...)
		}
	}
	return ended
}

// Resolve returns the incarnation that a change is about. Where an entry is gone, or cannot
// be read, nothing says of which run it was: of the latest.
func (v *View) Resolve(c Change) Incarnation {
	if (c.Gone || c.Unreadable) && c.ID.Born() == 0 {
		return v.latest.run(c.ID)
	}
	return c.ID
}

// displace ends the incarnations without an entry, or that are leaving, that were known at
// an address at which a new one is, and returns them: whether their entries linger or may
// come back after an outage, their processes are gone. One that is listed stays beside the
// new one: either may come from another writer, and who is asked as the one that it is not
// says so.
func (v *View) displace(changes []Change) []Change {
	over := make(map[Incarnation]bool)
	for _, c := range changes {
		over[v.Resolve(c)] = c.Gone || c.Upstream.Leaving || c.Upstream.Lapsed
	}
	var displaced []Change
	for _, c := range changes {
		old := v.atAddress[c.Upstream.Address]
		if v.unserved(c) || v.Listed(old) && !v.upstreams[old].Leaving && !over[old] {
			continue
		}
		if c.Gone || c.Unreadable || c.Upstream.Lapsed || c.Upstream.Address == "" || old.IsZero() || old == c.ID || v.upstreams[c.ID] != nil || v.over(c.ID) {
			continue
		}
		if v.end(old) {
			displaced = append(displaced, Change{ID: old, Gone: true})
		}
	}
	return displaced
}

// end notes that an incarnation has ended, and returns whether it was known.
func (v *View) end(i Incarnation) bool {
	v.ended[i] = true
	return v.drop(i)
}

// drop removes an incarnation, and returns whether it was known.
func (v *View) drop(i Incarnation) bool {
	known := v.Holds(i)
	v.remove(i)
	return known
}

// over tells whether an incarnation has ended for certain, whatever is said of it.
func (v *View) over(i Incarnation) bool { return v.ended[i] || v.latest.outdated(i) }
