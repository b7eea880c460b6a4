package relay

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// configGate allows requests with a client key to be written while the configuration that
// accepted the key is active and fresh. It is checked immediately before the write, since the
// process may have been suspended after the decision and the key may have been revoked
// meanwhile.
type configGate struct {
	clock  *clock.Clock
	maxAge clock.Millis

	mu sync.Mutex
	// active is the active edition, and confirmedAt the time at which it was last known to be
	// the newest one.
	active      catalog.Edition
	confirmedAt clock.Millis
}

func newConfigGate(c *clock.Clock, maxAge clock.Millis) *configGate {
	return &configGate{clock: c, maxAge: maxAge, confirmedAt: clock.Never}
}

// confirm records that an edition was the newest one at a time. A zero edition updates only the
// time.
func (g *configGate) confirm(edition catalog.Edition, confirmedAt clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if edition.Supersedes(g.active) {
		g.active, g.confirmedAt = edition, confirmedAt
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

// allows reports whether a request with a client key accepted by an edition may be written now.
// An edition that the gate has not received yet is newer than the active one and is allowed.
func (g *configGate) allows(edition catalog.Edition) bool {
	if g.maxAge == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.active.Supersedes(edition) && g.clock.Now().Sub(g.confirmedAt) <= g.maxAge
}
