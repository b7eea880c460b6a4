package relay

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// configGate allows requests with a client key to be written while the active configuration is fresh
// and accepts the key for the same client account. It is checked immediately before the write, since
// the process may have been suspended after the decision and the key may have been revoked meanwhile.
type configGate struct {
	clock  *clock.Clock
	maxAge clock.Millis

	mu sync.Mutex
	// active is the active configuration, nil if there is none, and confirmedAt the time at which it
	// was last known to be the newest one.
	active      *catalog.Catalog
	confirmedAt clock.Millis
}

func newConfigGate(c *clock.Clock, maxAge clock.Millis) *configGate {
	return &configGate{clock: c, maxAge: maxAge, confirmedAt: clock.Never}
}

// confirm records that a configuration was the newest one at a time. If it is nil, only the time is
// updated.
func (g *configGate) confirm(c *catalog.Catalog, confirmedAt clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c != nil && (g.active == nil || c.Edition().Supersedes(g.active.Edition())) {
		g.active, g.confirmedAt = c, confirmedAt
		return
	}
	g.confirmedAt = max(g.confirmedAt, confirmedAt)
}

// age returns the time since the configuration was last confirmed as the newest one; -1 if it
// never was.
func (g *configGate) age() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.AgeOf(g.confirmedAt, g.clock.Now())
}

// allows reports whether a request with a client key that an edition has accepted for a client account may be
// written now. An edition that the gate has not received yet is newer than the active one and is allowed.
func (g *configGate) allows(edition catalog.Edition, key, account string) bool {
	if g.maxAge == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock.Now().Sub(g.confirmedAt) > g.maxAge {
		return false
	}
	if g.active == nil || !g.active.Edition().Supersedes(edition) {
		return true
	}
	now, err := g.active.Account(key)
	return err == nil && now.Name == account
}
