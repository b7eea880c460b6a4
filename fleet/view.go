package fleet

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// RemovalGrace is how long after the store's return an entry may be missing
// although the upstream lives. The users' letter names about two seconds.
const RemovalGrace clock.Millis = 2200

// View is the node's picture of all upstreams. It is pure: times are handed
// in. It is not safe for concurrent use.
type View struct {
	upstreams map[Incarnation]*Upstream
	// seenLeaving are incarnations that were seen leaving. They go on leaving, whatever an
	// older entry says.
	seenLeaving map[Incarnation]bool
	// terminated are incarnations whose address another one has. They never come back.
	terminated map[Incarnation]bool
	// replacedAt are the addresses at which others have answered in place of incarnations.
	// What says that one is there still is older than that.
	replacedAt map[Incarnation]string
	// newestStarts says which incarnations a later run of their upstream has followed. These
	// never come back either.
	newestStarts latestStarts
	// byAddress names the incarnation at an address.
	byAddress map[string]Incarnation
	// missingUntil are entries that vanished around an outage, with the time from
	// which they are taken as gone.
	missingUntil map[Incarnation]clock.Millis
	// removedAt are upstreams that were taken as gone lately, and when; earlier ones were forgotten
	// last at forgot. Returned is when the store has come back from a copy last, and staleSuspects
	// are entries that may be the copy's alone.
	removedAt     map[Incarnation]clock.Millis
	prunedAt      clock.Millis
	restoredAt    clock.Millis
	staleSuspects map[Incarnation]Upstream
	// knownServices are those that there are, nil while that is not known, and strangers the
	// entries that name another one.
	knownServices         map[string]bool
	unknownServiceEntries map[Incarnation]Upstream
	storeDown             bool
	// recoveredAt is when the store was back last.
	recoveredAt clock.Millis
}

// NewView returns a view without upstreams.
func NewView() *View {
	return &View{
		upstreams:             make(map[Incarnation]*Upstream),
		seenLeaving:           make(map[Incarnation]bool),
		terminated:            make(map[Incarnation]bool),
		replacedAt:            make(map[Incarnation]string),
		newestStarts:          make(latestStarts),
		byAddress:             make(map[string]Incarnation),
		missingUntil:          make(map[Incarnation]clock.Millis),
		unknownServiceEntries: make(map[Incarnation]Upstream),
		removedAt:             make(map[Incarnation]clock.Millis),
		prunedAt:              clock.Never,
		restoredAt:            clock.Never,
		staleSuspects:         make(map[Incarnation]Upstream),
	}
}

// StoreLost notes that the store does not answer. Entries that vanish from
// now on may have lapsed.
func (v *View) StoreLost() { v.storeDown = true }

// StoreRecovered notes that the store answers, and since when. At the end of an outage,
// entries that are missing get until RemovalGrace later to come back.
func (v *View) StoreRecovered(now clock.Millis) {
	if !v.storeDown {
		return
	}
	v.storeDown, v.recoveredAt = false, now
	for id := range v.missingUntil {
		v.missingUntil[id] = now.Add(RemovalGrace)
	}
}

// OutageEnded notes when an outage has ended that others have noticed and this view has
// not: the grace of entries that vanish counts from then too.
func (v *View) OutageEnded(at clock.Millis) {
	if !v.storeDown {
		v.recoveredAt = max(v.recoveredAt, at)
	}
}

// ReplaceList takes a whole list. Entries that it lacks are treated as vanished;
// lapsed tells that the list follows an outage. One that names an earlier run of an
// upstream says nothing of the latest.
func (v *View) ReplaceList(now clock.Millis, list []Change, lapsed bool) []Change {
	clear(v.unknownServiceEntries)
	clear(v.staleSuspects)
	changes := slices.DeleteFunc(slices.Clone(list), func(c Change) bool { return v.holdBackStale(now, c) })
	listed := make(map[Incarnation]bool, len(changes))
	for _, c := range changes {
		listed[v.newestStarts.newest(c.ID)] = true
	}
	for id := range v.upstreams {
		if !listed[id] {
			changes = append(changes, Change{ID: id, Gone: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return v.Apply(now, changes, lapsed)
}

// ApplyPeerList takes a whole list from a peer that has the store while this node has
// not. Entries that it lacks are gone.
func (v *View) ApplyPeerList(now clock.Millis, list []Upstream) []Change {
	away := v.storeDown
	v.storeDown = false
	changes := make([]Change, 0, len(list))
	for _, u := range list {
		changes = append(changes, Change{ID: u.ID, Upstream: u})
	}
	changes = v.ReplaceList(now, changes, false)
	v.storeDown = away
	return changes
}

// Apply takes changes of the list and returns those that made a difference:
// with Gone for upstreams that get no new work from now on.
func (v *View) Apply(now clock.Millis, changes []Change, lapsed bool) []Change {
	effective := v.terminateEarlier(changes)
	effective = append(effective, v.terminateAtReusedAddress(changes)...)
	for _, c := range changes {
		c.ID = v.IncarnationOf(c)
		if v.setAsideUnknownService(c) {
			c.Unreadable = true
		}
		if c.Unreadable {
			effective = append(effective, v.markEntryInvalid(c.ID)...)
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
		return v.markTerminated(c.ID)
	case c.Gone:
		return v.entryRemoved(now, c.ID, lapsed)
	case v.isTerminated(c.ID) || c.Upstream.Address != "" && v.replacedAt[c.ID] == c.Upstream.Address:
		return false
	}
	if c.Upstream.Lapsed {
		return v.entryRemoved(now, c.ID, true)
	}
	delete(v.missingUntil, c.ID)
	delete(v.removedAt, c.ID)
	delete(v.staleSuspects, c.ID)
	u := c.Upstream
	if v.seenLeaving[u.ID] {
		u.Leaving = true
	}
	if u.Leaving {
		v.seenLeaving[u.ID] = true
	}
	known, ok := v.upstreams[u.ID]
	if ok && *known == u {
		return false
	}
	v.upstreams[u.ID] = &u
	v.byAddress[u.Address] = u.ID
	return true
}

// entryRemoved handles an entry that is there no more.
func (v *View) entryRemoved(now clock.Millis, id Incarnation, lapsed bool) bool {
	if _, ok := v.upstreams[id]; !ok {
		delete(v.staleSuspects, id)
		return false
	}
	if lapsed || v.storeDown {
		if _, waiting := v.missingUntil[id]; !waiting {
			v.missingUntil[id] = v.removalDeadline(now)
		}
		return false
	}
	v.remove(id)
	v.recordRemoval(now, id)
	return true
}

// removalDeadline is until when an entry that vanishes now may come back. Once the store
// is back the grace counts from its return, not from when the entry vanished. Where
// others have noticed an outage that still lasts, there is no return to count from.
func (v *View) removalDeadline(now clock.Millis) clock.Millis {
	ends := v.recoveredAt.Add(RemovalGrace)
	if v.storeDown || now >= ends {
		return now.Add(RemovalGrace)
	}
	return ends
}

func (v *View) remove(id Incarnation) {
	if u := v.upstreams[id]; u != nil && v.byAddress[u.Address] == id {
		delete(v.byAddress, u.Address)
	}
	delete(v.upstreams, id)
	delete(v.missingUntil, id)
}

// Expire removes entries whose time to come back is over, lists those that were held back for
// long enough, and returns both. Nothing expires while the store is away.
func (v *View) Expire(now clock.Millis) []Change {
	if v.storeDown {
		return nil
	}
	var changes []Change
	for id, until := range v.missingUntil {
		if now >= until {
			changes = append(changes, Change{ID: id, Gone: true})
		}
	}
	for _, c := range changes {
		v.remove(c.ID)
		v.recordRemoval(now, c.ID)
	}
	changes = append(changes, v.releaseStaleSuspects(now)...)
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return changes
}

// HasMissing tells whether some entry may still come back.
func (v *View) HasMissing() bool { return len(v.missingUntil) > 0 }

// Missing returns the upstreams whose entries may still come back.
func (v *View) Missing() []Incarnation {
	return slices.SortedFunc(maps.Keys(v.missingUntil), Incarnation.Compare)
}

// HasEntry tells whether an upstream is known and has an entry.
func (v *View) HasEntry(id Incarnation) bool {
	_, waiting := v.missingUntil[id]
	return v.Contains(id) && !waiting
}

// NextExpiry is when Expire has something to do next; ok is false for never.
func (v *View) NextExpiry() (at clock.Millis, ok bool) {
	for _, until := range v.missingUntil {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	if listed := v.restoredAt.Add(RestoreGrace); len(v.staleSuspects) > 0 && (!ok || listed < at) {
		at, ok = listed, true
	}
	return at, ok
}

// Contains tells whether an upstream is known.
func (v *View) Contains(id Incarnation) bool { return v.upstreams[id] != nil }

// Get returns what is known of an upstream; ok is false for nothing.
func (v *View) Get(id Incarnation) (u Upstream, ok bool) {
	known := v.upstreams[id]
	if known == nil {
		return Upstream{}, false
	}
	u = *known
	_, u.Lapsed = v.missingUntil[id]
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
