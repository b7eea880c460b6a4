package fleet

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// RemovalGrace is how long after the store's recovery the entry of an upstream that is alive
// may be missing. The users' requirements name about two seconds.
const RemovalGrace clock.Millis = 2200

// View is a node's view of all upstreams. It reads no clock: callers pass the time. It is not
// safe for concurrent use.
type View struct {
	upstreams map[Incarnation]*Upstream
	// seenLeaving holds incarnations that reported that they are leaving. They stay leaving,
	// whatever older entries contain.
	seenLeaving map[Incarnation]bool
	// terminated holds incarnations that are known to have terminated, for example because
	// another one has taken their address. They are never added again.
	terminated map[Incarnation]bool
	// replacedAt maps an incarnation to the address at which another upstream answered in its
	// place. Entries that still list the incarnation at that address are outdated and ignored.
	replacedAt map[Incarnation]string
	// newestStarts identifies incarnations that a later one of the same upstream has
	// superseded. They are never added again.
	newestStarts latestStarts
	// byAddress maps an address to the incarnation that has it.
	byAddress map[string]Incarnation
	// missingUntil maps incarnations whose entries disappeared around an outage to the time at
	// which the removal takes effect.
	missingUntil map[Incarnation]clock.Millis
	// removedAt maps recently removed upstreams to the time of removal, and prunedAt is when
	// expired ones were last deleted from it. restoredAt is the time of the last store restore,
	// and staleSuspects holds entries that may exist only because the backup contained them.
	removedAt     map[Incarnation]clock.Millis
	prunedAt      clock.Millis
	restoredAt    clock.Millis
	staleSuspects map[Incarnation]Upstream
	// awaited holds the layers of engines that messages reported, until the list must show them.
	awaited map[Incarnation]awaitedLayers
	// catalog is the configuration, nil until known. unfitEntries holds the entries that name other services,
	// or do not fit theirs, by the key of their row.
	catalog      *catalog.Catalog
	unfitEntries map[ID]Upstream
	misfits      misfitLog
	// droppedEntries reports whether there were more of these than are kept since the last complete list,
	// and lacksEntries whether a service has been added or changed since.
	droppedEntries, lacksEntries bool
	storeDown                    bool
	// recoveredAt is when the store last recovered.
	recoveredAt clock.Millis
}

// NewView returns a view without upstreams.
func NewView() *View {
	return &View{
		upstreams:     make(map[Incarnation]*Upstream),
		seenLeaving:   make(map[Incarnation]bool),
		terminated:    make(map[Incarnation]bool),
		replacedAt:    make(map[Incarnation]string),
		newestStarts:  make(latestStarts),
		byAddress:     make(map[string]Incarnation),
		missingUntil:  make(map[Incarnation]clock.Millis),
		unfitEntries:  make(map[ID]Upstream),
		misfits:       newMisfitLog(),
		removedAt:     make(map[Incarnation]clock.Millis),
		prunedAt:      clock.Never,
		restoredAt:    clock.Never,
		staleSuspects: make(map[Incarnation]Upstream),
		awaited:       make(map[Incarnation]awaitedLayers),
	}
}

// StoreLost records that the store does not answer. Entries that disappear from now on may be
// false removals.
func (v *View) StoreLost() { v.storeDown = true }

// StoreRecovered records that the store answers since now. At the end of an outage, missing
// entries may reappear for RemovalGrace.
func (v *View) StoreRecovered(now clock.Millis) {
	if !v.storeDown {
		return
	}
	v.storeDown, v.recoveredAt = false, now
	for id := range v.missingUntil {
		v.missingUntil[id] = now.Add(RemovalGrace)
	}
}

// OutageEnded records when an outage ended that other nodes noticed and this one did not. The
// grace period of entries that disappear counts from that time too.
func (v *View) OutageEnded(at clock.Millis) {
	if !v.storeDown {
		v.recoveredAt = max(v.recoveredAt, at)
	}
}

// ReplaceList applies a complete list. Entries that are not in it have disappeared; afterOutage
// is set if the list follows an outage. A listed earlier incarnation does not affect the latest
// one.
func (v *View) ReplaceList(now clock.Millis, list []Change, afterOutage bool) []Change {
	clear(v.unfitEntries)
	clear(v.staleSuspects)
	v.droppedEntries, v.lacksEntries = false, false
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
	return v.Apply(now, changes, afterOutage)
}

// ApplyPeerList applies a complete list from a peer that can reach the store while this node
// cannot. Upstreams that are not in it are removed at once.
func (v *View) ApplyPeerList(now clock.Millis, list []Upstream) []Change {
	storeDown := v.storeDown
	v.storeDown = false
	changes := make([]Change, 0, len(list))
	for _, u := range list {
		changes = append(changes, Change{ID: u.ID, Upstream: u})
	}
	changes = v.ReplaceList(now, changes, false)
	v.storeDown = storeDown
	return changes
}

// Apply applies changes of the list and returns those that had an effect: Gone for upstreams
// that get no new requests from now on. If afterOutage is set, removals may be false and take
// effect after the grace period.
func (v *View) Apply(now clock.Millis, changes []Change, afterOutage bool) []Change {
	effective := v.terminateEarlier(changes)
	effective = append(effective, v.terminateAtReusedAddress(changes)...)
	for _, c := range changes {
		c.ID = v.IncarnationOf(c)
		if v.setAsideUnfit(c) {
			c.Unreadable = true
		}
		if c.Unreadable {
			effective = append(effective, v.markEntryInvalid(c.ID)...)
			continue
		}
		if !v.apply(now, c, afterOutage) {
			continue
		}
		if known := v.upstreams[c.ID]; known != nil {
			// An upstream that was seen leaving stays leaving, whatever its entry contains.
			c.Upstream = *known
		}
		effective = append(effective, c)
	}
	return effective
}

// apply applies one change and reports whether it had an effect.
func (v *View) apply(now clock.Millis, c Change, afterOutage bool) bool {
	switch {
	case c.Ended:
		return v.markTerminated(c.ID)
	case c.Gone:
		return v.entryRemoved(now, c.ID, afterOutage)
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
	known, found := v.upstreams[u.ID]
	if found && u.Model == "" {
		u.Model = known.Model
	}
	if found && *known == u {
		return false
	}
	v.upstreams[u.ID] = &u
	v.byAddress[u.Address] = u.ID
	return true
}

// entryRemoved handles the removal of an entry, and reports whether the upstream was removed at
// once.
func (v *View) entryRemoved(now clock.Millis, id Incarnation, afterOutage bool) bool {
	if _, ok := v.upstreams[id]; !ok {
		delete(v.staleSuspects, id)
		return false
	}
	if afterOutage || v.storeDown {
		if _, missing := v.missingUntil[id]; !missing {
			v.missingUntil[id] = v.removalDeadline(now)
		}
		return false
	}
	v.remove(id)
	v.recordRemoval(now, id)
	return true
}

// removalDeadline returns the time until which an entry that disappears now may reappear. After
// an outage, the grace period counts from the store's recovery, not from the entry's
// disappearance. During an outage (which other nodes may have noticed and this one not) there is
// no recovery to count from, and the grace period starts now.
func (v *View) removalDeadline(now clock.Millis) clock.Millis {
	deadline := v.recoveredAt.Add(RemovalGrace)
	if v.storeDown || now >= deadline {
		return now.Add(RemovalGrace)
	}
	return deadline
}

func (v *View) remove(id Incarnation) {
	if u := v.upstreams[id]; u != nil && v.byAddress[u.Address] == id {
		delete(v.byAddress, u.Address)
	}
	delete(v.upstreams, id)
	delete(v.missingUntil, id)
	delete(v.awaited, id)
	if v.unfitEntries[id.ID()].ID == id {
		delete(v.unfitEntries, id.ID())
	}
}

// Expire removes upstreams whose missing entries did not reappear in time, adds entries that
// were held back for long enough, and returns both. Nothing expires while the store is down.
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

// HasMissing reports whether some missing entry may still reappear.
func (v *View) HasMissing() bool { return len(v.missingUntil) > 0 }

// Missing returns the upstreams whose missing entries may still reappear.
func (v *View) Missing() []Incarnation {
	return slices.SortedFunc(maps.Keys(v.missingUntil), Incarnation.Compare)
}

// HasEntry reports whether the view contains an upstream and its entry is not missing.
func (v *View) HasEntry(id Incarnation) bool {
	_, missing := v.missingUntil[id]
	return v.Contains(id) && !missing
}

// NextExpiry returns when Expire next has an effect; ok is false for never.
func (v *View) NextExpiry() (at clock.Millis, ok bool) {
	for _, until := range v.missingUntil {
		if !ok || until < at {
			at, ok = until, true
		}
	}
	if held := v.restoredAt.Add(RestoreGrace); len(v.staleSuspects) > 0 && (!ok || held < at) {
		at, ok = held, true
	}
	return at, ok
}

// Contains reports whether the view contains an upstream.
func (v *View) Contains(id Incarnation) bool { return v.upstreams[id] != nil }

// Get returns an upstream; ok is false if the view does not contain it.
func (v *View) Get(id Incarnation) (u Upstream, ok bool) {
	known := v.upstreams[id]
	if known == nil {
		return Upstream{}, false
	}
	u = *known
	_, u.Lapsed = v.missingUntil[id]
	return u, true
}

// Len returns the number of upstreams.
func (v *View) Len() int { return len(v.upstreams) }

// All returns the upstreams in order, with Lapsed set for those whose entries may still
// reappear.
func (v *View) All() []Upstream {
	all := make([]Upstream, 0, len(v.upstreams))
	for id := range v.upstreams {
		u, _ := v.Get(id)
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return a.ID.Compare(b.ID) })
	return all
}
