package fleet

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxUnknownServiceEntries bounds the entries of unknown services that are kept. A deployment
// has some hundred entries.
const maxUnknownServiceEntries = 1024

// SetServices sets the services in the configuration, and applies the kept entries that name
// one of them. Entries of unknown services are not applied: no route uses them, and they may
// come from another writer and must not take the address of an upstream in use.
func (v *View) SetServices(now clock.Millis, names []string) []Change {
	added := false
	former := v.knownServices
	v.knownServices = make(map[string]bool, len(names))
	for _, name := range names {
		v.knownServices[name] = true
		added = added || !former[name]
	}
	v.lacksEntries = v.lacksEntries || added && v.droppedEntries
	var known []Change
	for id, u := range v.unknownServiceEntries {
		if v.knownServices[u.Service] {
			delete(v.unknownServiceEntries, id)
			known = append(known, Change{ID: id, Upstream: u})
		}
	}
	slices.SortFunc(known, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return v.Apply(now, known, false)
}

// LacksEntries reports whether entries of a service that was added to the configuration may have been
// dropped before, so that a complete list is needed.
func (v *View) LacksEntries() bool { return v.lacksEntries }

// setAsideUnknownService keeps an entry that names an unknown service for later, and reports
// whether the change was such an entry.
func (v *View) setAsideUnknownService(c Change) bool {
	if c.Gone {
		delete(v.unknownServiceEntries, c.ID)
		return false
	}
	if !v.hasUnknownService(c) {
		return false
	}
	if len(v.unknownServiceEntries) >= maxUnknownServiceEntries {
		v.droppedEntries = true
		return true
	}
	v.unknownServiceEntries[c.ID] = c.Upstream
	return true
}

// hasUnknownService reports whether a change contains an entry that names an unknown service.
func (v *View) hasUnknownService(c Change) bool {
	return !c.Gone && !c.Unreadable && v.knownServices != nil && !v.knownServices[c.Upstream.Service]
}

// markEntryInvalid excludes an upstream with an invalid entry from new requests.
func (v *View) markEntryInvalid(id Incarnation) []Change {
	known := v.upstreams[id]
	delete(v.missingUntil, id)
	if known == nil || known.Withheld {
		return nil
	}
	u := *known
	u.Withheld = true
	v.upstreams[id] = &u
	return []Change{{ID: id, Upstream: u}}
}
