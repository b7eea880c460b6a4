package fleet

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// maxUnfitEntries bounds the entries that are kept because they fit no service. A deployment has some hundred
// entries.
const maxUnfitEntries = 1024

// errUnknownService means that an entry names a service that is not in the configuration.
var errUnknownService = errors.New("fleet: service of the entry is not in the configuration")

// SetCatalog sets the configuration. Kept entries that fit it are applied, and engines that no longer fit are
// excluded from new requests until their entry or the configuration changes. Entries that do not fit are not
// applied: no route uses them, and they may come from another writer and must not take the address of an
// upstream in use.
func (v *View) SetCatalog(now clock.Millis, c *catalog.Catalog) []Change {
	v.lacksEntries = v.lacksEntries || v.droppedEntries && admitsOthers(v.catalog, c)
	v.catalog = c
	var fitting []Change
	for id, u := range v.unfitEntries {
		if v.check(Change{ID: u.ID, Upstream: u}) == nil {
			delete(v.unfitEntries, id)
			fitting = append(fitting, Change{ID: u.ID, Upstream: u})
		}
	}
	changes := v.withholdUnfit()
	slices.SortFunc(fitting, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return append(changes, v.Apply(now, fitting, false)...)
}

// admitsOthers reports whether a configuration has a service that a former one did not have, or that other
// engines fit.
func admitsOthers(former, c *catalog.Catalog) bool {
	admits := former == nil
	c.EachService(func(s *catalog.Service) {
		if admits {
			return
		}
		before := former.Service(s.Name)
		admits = before == nil || !before.Pipeline.SameEngines(s.Pipeline)
	})
	return admits
}

// withholdUnfit keeps the entries of engines that no longer fit for later, and excludes these engines from new
// requests. A missing entry stays missing.
func (v *View) withholdUnfit() []Change {
	var changes []Change
	for id, u := range v.upstreams {
		err := v.check(Change{ID: id, Upstream: *u})
		if err == nil || errors.Is(err, errUnknownService) {
			continue
		}
		v.misfits.record(*u, err)
		if _, kept := v.unfitEntries[id.ID()]; !kept {
			v.keepUnfit(*u)
		}
		changes = append(changes, v.withhold(id)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return changes
}

// LacksEntries reports whether entries of a service that was added to the configuration or changed in it may
// have been dropped before, so that a complete list is needed.
func (v *View) LacksEntries() bool { return v.lacksEntries }

// setAsideUnfit keeps an entry that fits no service for later, and reports whether the change was such an entry.
func (v *View) setAsideUnfit(c Change) bool {
	if c.Unreadable || v.isTerminated(c.ID) {
		return false
	}
	delete(v.unfitEntries, c.ID.ID())
	err := v.check(c)
	if err == nil {
		v.misfits.forget(c.ID.ID())
		return false
	}
	v.misfits.record(c.Upstream, err)
	v.keepUnfit(c.Upstream)
	return true
}

// keepUnfit keeps an entry for a later configuration, unless there are too many.
func (v *View) keepUnfit(u Upstream) {
	if len(v.unfitEntries) >= maxUnfitEntries {
		v.droppedEntries = true
		return
	}
	v.unfitEntries[u.ID.ID()] = u
}

// check returns why the entry in a change does not fit the configuration; nil if it does, if there is no entry,
// and while no configuration is known.
func (v *View) check(c Change) error {
	if c.Gone || c.Unreadable || c.Upstream.Lapsed || v.catalog == nil {
		return nil
	}
	switch s := v.catalog.Service(c.Upstream.Service); {
	case s == nil:
		return errUnknownService
	case s.Pipeline == nil:
		return nil
	default:
		_, err := EngineOf(s, c.Upstream)
		return err
	}
}

// markEntryInvalid excludes an upstream with an invalid entry from new requests.
func (v *View) markEntryInvalid(id Incarnation) []Change {
	delete(v.missingUntil, id)
	return v.withhold(id)
}

// withhold excludes an upstream from new requests.
func (v *View) withhold(id Incarnation) []Change {
	known := v.upstreams[id]
	if known == nil || known.Withheld {
		return nil
	}
	u := *known
	u.Withheld = true
	v.upstreams[id] = &u
	return []Change{{ID: id, Upstream: u}}
}
