package follow

import (
	"slices"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// apply passes a reading on. Lapsing tells that entries may be missing although
// their upstreams live.
func (f *Fleet) apply(now clock.Millis, reading FleetReading, lapsing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, err := range reading.Unreadable {
		f.log.Warn("entry_unreadable", logging.Err(err))
	}
	if ended := f.outage.EndedAt(now); ended != clock.Never {
		f.view.StoreRecovered(ended)
		f.view.OutageEnded(ended)
	}
	f.view.StoreRecovered(now)
	lapsed := f.view.Missing()
	if f.view.Len() == 0 && lapsing {
		// A node that has started in an outage cannot know what has lapsed in it.
		f.incomplete = true
	}
	var changes []fleet.Change
	if reading.Whole {
		changes = f.view.ReplaceList(now, entriesIn(reading.Changes), lapsing)
	} else {
		changes = f.view.Apply(now, reading.Changes, lapsing)
	}
	expired := f.view.Expire(now)
	f.publishFull = f.publishFull || f.falseRemovalsChanged(lapsed) || slices.ContainsFunc(expired, isEntry)
	f.publish(reading, changes, expired, lapsing)
	f.notify(append(changes, expired...), reading.AsOf)
}

// falseRemovalsChanged tells whether other entries have lapsed than had before: one of these is
// listed again, or further ones vanished. Those that follow are told which have.
func (f *Fleet) falseRemovalsChanged(before []fleet.Incarnation) bool {
	if slices.ContainsFunc(before, f.view.HasEntry) {
		return true
	}
	return slices.ContainsFunc(f.view.Missing(), func(id fleet.Incarnation) bool { return !slices.Contains(before, id) })
}

// expire takes entries as gone whose time to come back is over.
func (f *Fleet) expire(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := f.view.Expire(now)
	if len(expired) == 0 {
		return
	}
	f.publisher.AddEnded(expired)
	f.publishFull = f.publishFull || slices.ContainsFunc(expired, isEntry)
	f.notify(expired, f.publishedAsOf)
}

// isEntry tells whether a change is an entry. Those that follow learn of one that is listed
// without a change at the store by the whole list.
func isEntry(c fleet.Change) bool { return !c.Gone }

// Supersede notes that somebody has heard of a run of an upstream: an engine has answered
// as it, or another node speaks of it. An earlier run that is known has ended.
func (f *Fleet) Supersede(run fleet.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.view.NoteIncarnation(run)
	if len(ended) == 0 {
		return
	}
	f.log.Info("upstream_started_again", zap.Stringer("upstream", run), zap.Stringer("ended", ended[0].ID))
	f.publisher.AddEnded(ended)
	f.notify(ended, f.publishedAsOf)
}

// MarkLeaving notes that an upstream has said in an answer that it is leaving: its entry may say
// so seconds later, and not at all while the store is away. Others that follow this node are
// told by the list or by the upstream itself: each may have heard it at another time.
func (f *Fleet) MarkLeaving(id fleet.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.view.MarkLeaving(id)
	if len(left) == 0 {
		return
	}
	f.log.Info("upstream_says_it_leaves", zap.Stringer("upstream", id))
	f.notify(left, f.publishedAsOf)
}

// MarkReplaced notes that another upstream has answered at an address in place of one: that has
// ended, whatever the list says of it for some seconds more.
func (f *Fleet) MarkReplaced(id fleet.Incarnation, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.view.NoteReplacement(id, address)
	if len(ended) == 0 {
		return
	}
	f.log.Info("upstream_replaced", zap.Stringer("upstream", id), zap.String("address", address))
	f.publisher.AddEnded(ended)
	f.notify(ended, f.publishedAsOf)
}

// publish passes a reading on to the nodes that follow this one, as it has changed the
// view. Entries that may come back stand in it until their time is over.
func (f *Fleet) publish(reading FleetReading, changes, expired []fleet.Change, lapsing bool) {
	anew := reading.Whole || f.publishFull || f.incomplete
	f.incomplete = f.incomplete && lapsing
	switch {
	case f.incomplete:
		f.publisher.Suspend()
	case anew:
		f.publisher.SetFleet(reading.AsOf, f.view.All())
		f.publishFull = false
	default:
		f.publishChanges(reading, changes)
	}
	f.publishedAsOf = reading.AsOf
	// Those that follow know the moment at which these have vanished.
	f.publisher.AddEnded(expired)
}

func (f *Fleet) publishChanges(reading FleetReading, changes []fleet.Change) {
	if !reading.AsOf.After(f.publishedAsOf) {
		f.publisher.AddEnded(changes)
		return
	}
	f.publisher.AddFleet(reading.AsOf, append(changes, f.redundantChanges(reading, changes)...))
}

// redundantChanges returns the changes of a reading that made no difference here, and may make one
// at nodes that follow. One of these may know of an entry that has come and gone before this
// node has seen it; after a return of the store from a copy, it may not know what this one
// remembers.
func (f *Fleet) redundantChanges(reading FleetReading, changes []fleet.Change) []fleet.Change {
	told := make(map[fleet.Incarnation]bool, len(changes))
	for _, c := range changes {
		told[c.ID] = true
	}
	remembers := f.clock.Now() < f.restoredAt.Add(fleet.RestoreGrace)
	var known []fleet.Change
	for _, c := range reading.Changes {
		c.ID = f.view.IncarnationOf(c)
		switch u, holds := f.view.Get(c.ID); {
		case told[c.ID]:
		case c.Gone && !holds:
			known = append(known, c)
		case remembers && !c.Gone && holds:
			known = append(known, fleet.Change{ID: c.ID, Upstream: u})
		}
	}
	return known
}

// notify tells changes, and keeps the list for peers.
func (f *Fleet) notify(changes []fleet.Change, asOf moment.Moment) {
	if len(changes) == 0 {
		return
	}
	list := f.view.All()
	f.current.Store(&list)
	f.logChanges(asOf, changes)
	f.onChanges(changes)
}

// ConfirmedList returns the list as it stands; ok is false around an outage of the
// store, when the node cannot vouch for it.
func (f *Fleet) ConfirmedList() (list []fleet.Upstream, ok bool) {
	shown := f.current.Load()
	if shown == nil || f.outage.FalseRemovalsPossible(f.clock.Now()) {
		return nil, false
	}
	return *shown, true
}

func (f *Fleet) logChanges(asOf moment.Moment, changes []fleet.Change) {
	for _, c := range changes {
		if c.Gone || c.Upstream.Leaving {
			f.log.Info("upstream_leaving", zap.Stringer("upstream", c.ID), zap.Bool("gone", c.Gone), zap.Bool("ended", c.Ended),
				zap.String("address", c.Upstream.Address), zap.Stringer("revision", asOf))
		}
	}
	f.log.Info("fleet", zap.Int("changes", len(changes)), zap.Int("upstreams", f.view.Len()), zap.Stringer("revision", asOf))
}

// entriesIn returns the changes of a whole list that are entries.
func entriesIn(changes []fleet.Change) []fleet.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c fleet.Change) bool { return c.Gone })
}

// SetServices sets the services that the configuration names. Entries that name others are
// kept aside until it does.
func (f *Fleet) SetServices(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes := f.view.SetServices(f.clock.Now(), names); len(changes) > 0 {
		// Those that follow have been told the list without these.
		f.publishFull = true
		f.notify(changes, f.publishedAsOf)
	}
}
