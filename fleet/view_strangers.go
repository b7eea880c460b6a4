package fleet

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// mostStrangers bounds the entries that are kept aside. A deployment has some hundred.
const mostStrangers = 1024

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
