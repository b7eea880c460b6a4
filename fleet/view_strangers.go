package fleet

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxUnknownServiceEntries bounds the entries that are kept aside. A deployment has some hundred.
const maxUnknownServiceEntries = 1024

// SetServices sets the services that there are, and takes up the entries that have named
// one of them before. Others have no place to be used, and entries that name one may come
// from another writer: they must not take the address of an upstream that is.
func (v *View) SetServices(now clock.Millis, names []string) []Change {
	v.knownServices = make(map[string]bool, len(names))
	for _, name := range names {
		v.knownServices[name] = true
	}
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

// setAsideUnknownService keeps an entry aside that names a service that there is not, and tells whether
// it did.
func (v *View) setAsideUnknownService(c Change) bool {
	if c.Gone {
		delete(v.unknownServiceEntries, c.ID)
		return false
	}
	if !v.hasUnknownService(c) {
		return false
	}
	if len(v.unknownServiceEntries) < maxUnknownServiceEntries {
		v.unknownServiceEntries[c.ID] = c.Upstream
	}
	return true
}

// hasUnknownService tells whether a change brings an entry that names a service that there is not.
func (v *View) hasUnknownService(c Change) bool {
	return !c.Gone && !c.Unreadable && v.knownServices != nil && !v.knownServices[c.Upstream.Service]
}

// markEntryInvalid keeps new work from an upstream whose entry cannot be used.
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
