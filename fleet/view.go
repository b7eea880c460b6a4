package fleet

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// LapseGrace is how long after the store's return an entry may be missing
// although the upstream lives. The users' letter names about two seconds.
const LapseGrace clock.Millis = 2200

// mostStrangers bounds the entries that are kept aside. A deployment has some hundred.
const mostStrangers = 1024

// View is the node's picture of all upstreams. It is pure: times are handed
// in. It is not safe for concurrent use.
type View struct {
	upstreams map[Incarnation]*Upstream
	// departed are incarnations that were seen leaving. They go on leaving, whatever an
	// older entry says.
	departed map[Incarnation]bool
	// ended are incarnations whose address another one has. They never come back.
	ended map[Incarnation]bool
	// latest says which incarnations a later run of their upstream has followed. These
	// never come back either.
	latest latest
	// atAddress names the incarnation at an address.
	atAddress map[string]Incarnation
	// missing are entries that vanished around an outage, with the time from
	// which they are taken as gone.
	missing map[Incarnation]clock.Millis
	// services are those that there are, nil while that is not known, and strangers the
	// entries that name another one.
	services  map[string]bool
	strangers map[Incarnation]Upstream
	away      bool
	// back is when the store was back last.
	back clock.Millis
}

// NewView returns a view without upstreams.
func NewView() *View {
	return &View{
		upstreams: make(map[Incarnation]*Upstream),
		departed:  make(map[Incarnation]bool),
		ended:     make(map[Incarnation]bool),
		latest:    make(latest),
		atAddress: make(map[string]Incarnation),
		missing:   make(map[Incarnation]clock.Millis),
		strangers: make(map[Incarnation]Upstream),
	}
}

// StoreLost notes that the store does not answer. Entries that vanish from
// now on may have lapsed.
func (v *View) StoreLost() { v.away = true }

// StoreBack notes that the store answers, and since when. At the end of an outage,
// entries that are missing get until LapseGrace later to come back.
func (v *View) StoreBack(now clock.Millis) {
	if !v.away {
		return
	}
	v.away, v.back = false, now
	for id := range v.missing {
		v.missing[id] = now.Add(LapseGrace)
	}
}

// OutageEnded notes when an outage has ended that others have noticed and this view has
// not: the grace of entries that vanish counts from then too.
func (v *View) OutageEnded(at clock.Millis) {
	if !v.away {
		v.back = max(v.back, at)
	}
}

// Replace takes a whole list. Entries that it lacks are treated as vanished;
// lapsed tells that the list follows an outage. One that names an earlier run of an
// upstream says nothing of the latest.
func (v *View) Replace(now clock.Millis, list []Change, lapsed bool) []Change {
	listed := make(map[Incarnation]bool, len(list))
	changes := slices.Clone(list)
	for _, c := range list {
		listed[v.latest.run(c.ID)] = true
	}
	clear(v.strangers)
	for id := range v.upstreams {
		if !listed[id] {
			changes = append(changes, Change{ID: id, Gone: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return v.Apply(now, changes, lapsed)
}

// Learn takes a whole list from a peer that has the store while this node has
// not. Entries that it lacks are gone.
func (v *View) Learn(now clock.Millis, list []Upstream) []Change {
	away := v.away
	v.away = false
	changes := make([]Change, 0, len(list))
	for _, u := range list {
		changes = append(changes, Change{ID: u.ID, Upstream: u})
	}
	changes = v.Replace(now, changes, false)
	v.away = away
	return changes
}

// Apply takes changes of the list and returns those that made a difference:
// with Gone for upstreams that get no new work from now on.
func (v *View) Apply(now clock.Millis, changes []Change, lapsed bool) []Change {
	effective := v.supersede(changes)
	effective = append(effective, v.displace(changes)...)
	for _, c := range changes {
		c.ID = v.Resolve(c)
		if v.stranger(c) {
			c.Unreadable = true
		}
		if c.Unreadable {
			effective = append(effective, v.withhold(c.ID)...)
			continue
		}
		if v.apply(now, c, lapsed) {
			effective = append(effective, c)
		}
	}
	return effective
}

// SetServices sets the services that there are, and takes up the entries that have named
// one of them before. Others have no place to be used, and entries that name one may come
// from another writer: they must not take the address of an upstream that is.
func (v *View) SetServices(now clock.Millis, names []string) []Change {
	v.services = make(map[string]bool, len(names))
	for _, name := range names {
		v.services[name] = true
	}
	var known []Change
	for id, u := range v.strangers {
		if v.services[u.Service] {
			delete(v.strangers, id)
			known = append(known, Change{ID: id, Upstream: u})
		}
	}
	slices.SortFunc(known, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return v.Apply(now, known, false)
}

// stranger keeps an entry aside that names a service that there is not, and tells whether
// it did.
func (v *View) stranger(c Change) bool {
	if c.Gone {
		delete(v.strangers, c.ID)
		return false
	}
	if !v.unserved(c) {
		return false
	}
	if len(v.strangers) < mostStrangers {
		v.strangers[c.ID] = c.Upstream
	}
	return true
}

// unserved tells whether a change brings an entry that names a service that there is not.
func (v *View) unserved(c Change) bool {
	return !c.Gone && !c.Unreadable && v.services != nil && !v.services[c.Upstream.Service]
}

// withhold keeps new work from an upstream whose entry cannot be used.
func (v *View) withhold(id Incarnation) []Change {
	known := v.upstreams[id]
	delete(v.missing, id)
	if known == nil || known.Withheld {
		return nil
	}
	u := *known
	u.Withheld = true
	v.upstreams[id] = &u
	return []Change{{ID: id, Upstream: u}}
}

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

func (v *View) apply(now clock.Millis, c Change, lapsed bool) bool {
	switch {
	case c.Ended:
		return v.end(c.ID)
	case c.Gone:
		return v.vanish(now, c.ID, lapsed)
	case v.over(c.ID):
		return false
	}
	if c.Upstream.Lapsed {
		return v.vanish(now, c.ID, true)
	}
	delete(v.missing, c.ID)
	u := c.Upstream
	if v.departed[u.ID] {
		u.Leaving = true
	}
	if u.Leaving {
		v.departed[u.ID] = true
	}
	known, ok := v.upstreams[u.ID]
	if ok && *known == u {
		return false
	}
	v.upstreams[u.ID] = &u
	v.atAddress[u.Address] = u.ID
	return true
}

// vanish handles an entry that is there no more.
func (v *View) vanish(now clock.Millis, id Incarnation, lapsed bool) bool {
	if _, ok := v.upstreams[id]; !ok {
		return false
	}
	if lapsed || v.away {
		if _, waiting := v.missing[id]; !waiting {
			v.missing[id] = v.graceEnds(now)
		}
		return false
	}
	v.remove(id)
	return true
}

// graceEnds is until when an entry that vanishes now may come back. Once the store
// is back the grace counts from its return, not from when the entry vanished. Where
// others have noticed an outage that still lasts, there is no return to count from.
func (v *View) graceEnds(now clock.Millis) clock.Millis {
	ends := v.back.Add(LapseGrace)
	if v.away || now >= ends {
		return now.Add(LapseGrace)
	}
	return ends
}

func (v *View) remove(id Incarnation) {
	if u := v.upstreams[id]; u != nil && v.atAddress[u.Address] == id {
		delete(v.atAddress, u.Address)
	}
	delete(v.upstreams, id)
	delete(v.missing, id)
}

// Expire removes entries whose time to come back is over, and returns them.
// Nothing expires while the store is away.
func (v *View) Expire(now clock.Millis) []Change {
	if v.away {
		return nil
	}
	var changes []Change
	for id, until := range v.missing {
		if now >= until {
			changes = append(changes, Change{ID: id, Gone: true})
		}
	}
	for _, c := range changes {
		v.remove(c.ID)
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return changes
}

// Waiting tells whether some entry may still come back.
func (v *View) Waiting() bool { return len(v.missing) > 0 }

// Lapsed returns the upstreams whose entries may still come back.
func (v *View) Lapsed() []Incarnation {
	return slices.SortedFunc(maps.Keys(v.missing), Incarnation.Compare)
}

// Listed tells whether an upstream is known and has an entry.
func (v *View) Listed(id Incarnation) bool {
	_, waiting := v.missing[id]
	return v.Holds(id) && !waiting
}

// NextExpiry is when the next of them may be taken as gone; ok is false for none.
func (v *View) NextExpiry() (at clock.Millis, ok bool) {
	for _, until := range v.missing {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	return at, ok
}

// Holds tells whether an upstream is known.
func (v *View) Holds(id Incarnation) bool { return v.upstreams[id] != nil }

// Len returns how many upstreams are known.
func (v *View) Len() int { return len(v.upstreams) }

// All returns the upstreams in their order, those among them that may come
// back as Lapsed.
func (v *View) All() []Upstream {
	all := make([]Upstream, 0, len(v.upstreams))
	for id, known := range v.upstreams {
		u := *known
		_, u.Lapsed = v.missing[id]
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return a.ID.Compare(b.ID) })
	return all
}
