package fleet

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// LapseGrace is how long after the store's return an entry may be missing
// although the upstream lives. The users' letter names about two seconds.
const LapseGrace clock.Millis = 2200

// View is the node's picture of all upstreams. It is pure: times are handed
// in. It is not safe for concurrent use.
type View struct {
	upstreams map[Incarnation]*Upstream
	// departed are incarnations that were seen leaving. They go on leaving, whatever an
	// older entry says.
	departed map[Incarnation]bool
	// ended are incarnations whose address another one has. They never come back.
	ended map[Incarnation]bool
	// replaced are the addresses at which others have answered in place of incarnations.
	// What says that one is there still is older than that.
	replaced map[Incarnation]string
	// latest says which incarnations a later run of their upstream has followed. These
	// never come back either.
	latest latest
	// atAddress names the incarnation at an address.
	atAddress map[string]Incarnation
	// missing are entries that vanished around an outage, with the time from
	// which they are taken as gone.
	missing map[Incarnation]clock.Millis
	// gone are upstreams that were taken as gone lately, and when; earlier ones were forgotten
	// last at forgot. Returned is when the store has come back from a copy last, and heldBack
	// are entries that may be the copy's alone.
	gone     map[Incarnation]clock.Millis
	forgot   clock.Millis
	returned clock.Millis
	heldBack map[Incarnation]Upstream
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
		replaced:  make(map[Incarnation]string),
		latest:    make(latest),
		atAddress: make(map[string]Incarnation),
		missing:   make(map[Incarnation]clock.Millis),
		strangers: make(map[Incarnation]Upstream),
		gone:      make(map[Incarnation]clock.Millis),
		forgot:    clock.Never,
		returned:  clock.Never,
		heldBack:  make(map[Incarnation]Upstream),
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
	clear(v.strangers)
	clear(v.heldBack)
	changes := slices.DeleteFunc(slices.Clone(list), func(c Change) bool { return v.copied(now, c) })
	listed := make(map[Incarnation]bool, len(changes))
	for _, c := range changes {
		listed[v.latest.run(c.ID)] = true
	}
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
		if !v.apply(now, c, lapsed) {
			continue
		}
		if known := v.upstreams[c.ID]; known != nil {
			// One that was seen leaving is leaving still, whatever its entry says.
			c.Upstream = *known
		}
		effective = append(effective, c)
	}
	return effective
}

// apply takes in one change, and returns whether it made a difference.
func (v *View) apply(now clock.Millis, c Change, lapsed bool) bool {
	switch {
	case c.Ended:
		return v.end(c.ID)
	case c.Gone:
		return v.vanish(now, c.ID, lapsed)
	case v.over(c.ID) || c.Upstream.Address != "" && v.replaced[c.ID] == c.Upstream.Address:
		return false
	}
	if c.Upstream.Lapsed {
		return v.vanish(now, c.ID, true)
	}
	delete(v.missing, c.ID)
	delete(v.gone, c.ID)
	delete(v.heldBack, c.ID)
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
		delete(v.heldBack, id)
		return false
	}
	if lapsed || v.away {
		if _, waiting := v.missing[id]; !waiting {
			v.missing[id] = v.graceEnds(now)
		}
		return false
	}
	v.remove(id)
	v.noteGone(now, id)
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

// Expire removes entries whose time to come back is over, lists those that were held back for
// long enough, and returns both. Nothing expires while the store is away.
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
		v.noteGone(now, c.ID)
	}
	changes = append(changes, v.listHeldBack(now)...)
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

// NextExpiry is when Expire has something to do next; ok is false for never.
func (v *View) NextExpiry() (at clock.Millis, ok bool) {
	for _, until := range v.missing {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	if listed := v.returned.Add(CopyGrace); len(v.heldBack) > 0 && (!ok || listed < at) {
		at, ok = listed, true
	}
	return at, ok
}

// Holds tells whether an upstream is known.
func (v *View) Holds(id Incarnation) bool { return v.upstreams[id] != nil }

// Get returns what is known of an upstream; ok is false for nothing.
func (v *View) Get(id Incarnation) (u Upstream, ok bool) {
	known := v.upstreams[id]
	if known == nil {
		return Upstream{}, false
	}
	u = *known
	_, u.Lapsed = v.missing[id]
	return u, true
}

// Len returns how many upstreams are known.
func (v *View) Len() int { return len(v.upstreams) }

// All returns the upstreams in their order, those among them that may come
// back as Lapsed.
func (v *View) All() []Upstream {
	all := make([]Upstream, 0, len(v.upstreams))
	for id := range v.upstreams {
		u, _ := v.Get(id)
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return a.ID.Compare(b.ID) })
	return all
}
