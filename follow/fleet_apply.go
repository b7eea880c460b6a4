package follow

import (
	"expvar"
	"slices"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// apply applies a reading to the view and publishes it. uncertain reports whether entries in it
// may be falsely removed.
func (f *Fleet) apply(now clock.Millis, reading FleetReading, uncertain bool) {
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
	held := f.view.Missing()
	if f.view.Len() == 0 && uncertain {
		// A node that has started during an outage does not know which entries were falsely
		// removed in it.
		f.incomplete = true
	}
	var changes []fleet.Change
	if reading.Whole {
		changes = f.view.ReplaceList(now, entriesIn(reading.Changes), uncertain)
	} else {
		changes = f.view.Apply(now, reading.Changes, uncertain)
	}
	expired := f.view.Expire(now)
	f.publishFull = f.publishFull || f.falseRemovalsChanged(held) || slices.ContainsFunc(expired, isEntry)
	f.reportMisfits()
	f.publish(reading, changes, expired, uncertain)
	f.notify(append(changes, expired...), reading.AsOf)
	f.restoreLayers(now, reading.AsOf)
}

// AwaitLayers records a message about the layers of an engine, and reports whether the engine's service allows
// them. Its entry applies again if the list does not show them in time.
func (f *Fleet) AwaitLayers(id fleet.Incarnation, reported fleet.ReportedLayers) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.reportMisfits()
	return f.view.AwaitLayers(f.clock.Now(), id, reported)
}

// reportMisfits counts the entries and messages that do not fit the configuration, and logs new ones.
func (f *Fleet) reportMisfits() {
	counts, fresh := f.view.TakeMisfits()
	for field, n := range counts {
		f.misfits.Add(string(field), int64(n))
	}
	for _, m := range fresh {
		f.log.Warn("entry_unfit", zap.Stringer("upstream", m.ID), zap.String("service", m.Service), zap.String("field", string(m.Err.Field)), logging.Err(m.Err))
	}
}

// Misfits returns the counters of entries, and of messages about layers, that do not fit the configuration of
// their service, by field. Each counts each time it is read.
func (f *Fleet) Misfits() *expvar.Map { return &f.misfits }

// restoreLayers passes on the entries of engines again that do not show the layers that a message reported.
func (f *Fleet) restoreLayers(now clock.Millis, asOf moment.Moment) {
	changes := f.view.LayersNotShown(now)
	for _, c := range changes {
		f.log.Info("layers_not_shown", zap.Stringer("upstream", c.ID), zap.Int("held_from", c.Upstream.Held.From), zap.Int("held_to", c.Upstream.Held.To),
			zap.Stringer("revision", asOf))
	}
	if len(changes) > 0 {
		f.onChanges(changes)
	}
}

// falseRemovalsChanged reports whether the set of held entries differs from before: an entry is
// listed again, or further ones have disappeared. Followers must get the current set.
func (f *Fleet) falseRemovalsChanged(before []fleet.Incarnation) bool {
	if slices.ContainsFunc(before, f.view.HasEntry) {
		return true
	}
	return slices.ContainsFunc(f.view.Missing(), func(id fleet.Incarnation) bool { return !slices.Contains(before, id) })
}

// expire removes held entries whose grace period has ended.
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

// isEntry reports whether a change adds or updates an entry. Followers get an entry that is
// listed without a change at the store only with a full list.
func isEntry(c fleet.Change) bool { return !c.Gone }

// Supersede records an incarnation of an upstream that an engine's response or another node has
// reported. Earlier incarnations of that upstream have ended and are removed.
func (f *Fleet) Supersede(incarnation fleet.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.view.NoteIncarnation(incarnation)
	if len(ended) == 0 {
		return
	}
	f.log.Info("upstream_started_again", zap.Stringer("upstream", incarnation), zap.Stringer("ended", ended[0].ID))
	f.publisher.AddEnded(ended)
	f.notify(ended, f.publishedAsOf)
}

// MarkLeaving records that a response of an upstream has announced that it is leaving. Its
// entry in the store may follow seconds later, and not at all during an outage. The change is
// not published: each follower gets it from the list or from a response of the upstream.
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

// MarkReplaced records that another upstream has responded at the address of an upstream. The
// latter has ended, even if the list includes it for some seconds more.
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

// publish publishes a reading to the followers of this node, with the changes that it made to
// the view. The view includes held entries until their grace period ends.
func (f *Fleet) publish(reading FleetReading, changes, expired []fleet.Change, uncertain bool) {
	full := reading.Whole || f.publishFull || f.incomplete
	f.incomplete = f.incomplete && uncertain
	switch {
	case f.incomplete:
		f.publisher.Suspend()
	case full:
		f.publisher.SetFleet(reading.AsOf, f.view.All())
		f.publishFull = false
	default:
		f.publishChanges(reading, changes)
	}
	f.publishedAsOf = reading.AsOf
	// Followers may already know the moment at which these entries disappeared.
	f.publisher.AddEnded(expired)
}

// publishChanges publishes the changes of a reading, or only its removals if it has no newer
// moment than the last published one.
func (f *Fleet) publishChanges(reading FleetReading, changes []fleet.Change) {
	if !reading.AsOf.After(f.publishedAsOf) {
		f.publisher.AddEnded(changes)
		return
	}
	f.publisher.AddFleet(reading.AsOf, append(changes, f.redundantChanges(reading, changes)...))
}

// redundantChanges returns the changes of a reading that did not change the view but may change
// a follower's: the follower may have an entry that was added and removed before this node read
// the list, and after a store restore it may lack what this node remembers.
func (f *Fleet) redundantChanges(reading FleetReading, changes []fleet.Change) []fleet.Change {
	included := make(map[fleet.Incarnation]bool, len(changes))
	for _, c := range changes {
		included[c.ID] = true
	}
	remembers := f.clock.Now() < f.restoredAt.Add(fleet.RestoreGrace)
	var known []fleet.Change
	for _, c := range reading.Changes {
		c.ID = f.view.IncarnationOf(c)
		switch u, holds := f.view.Get(c.ID); {
		case included[c.ID]:
		case c.Gone && !holds:
			known = append(known, c)
		case remembers && !c.Gone && holds:
			known = append(known, fleet.Change{ID: c.ID, Upstream: u})
		}
	}
	return known
}

// notify passes changes to onChanges and updates the current list for peers.
func (f *Fleet) notify(changes []fleet.Change, asOf moment.Moment) {
	if len(changes) == 0 {
		return
	}
	list := f.view.All()
	f.current.Store(&list)
	f.logChanges(asOf, changes)
	f.onChanges(changes)
}

// ConfirmedList returns the current list; ok is false around a store outage, when entries may
// be falsely removed.
func (f *Fleet) ConfirmedList() (list []fleet.Upstream, ok bool) {
	current := f.current.Load()
	if current == nil || f.outage.FalseRemovalsPossible(f.clock.Now()) {
		return nil, false
	}
	return *current, true
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

// entriesIn returns the changes of a full list that are entries.
func entriesIn(changes []fleet.Change) []fleet.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c fleet.Change) bool { return c.Gone })
}

// SetCatalog sets the configuration. Entries that do not fit it are withheld until it changes.
func (f *Fleet) SetCatalog(c *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.reportMisfits()
	if changes := f.view.SetCatalog(f.clock.Now(), c); len(changes) > 0 {
		// Followers have the list without these entries.
		f.publishFull = true
		f.notify(changes, f.publishedAsOf)
	}
}

// lacksEntries reports whether the list must be read again for a service that has been added or changed.
func (f *Fleet) lacksEntries() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LacksEntries()
}
