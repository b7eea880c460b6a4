package relay

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// configGate stays open for requests with a key while the configuration that decided
// them is in force and fresh. It is asked right before a request is written,
// since the process may have stood still after the decision, and the key may
// have been taken away meanwhile.
type configGate struct {
	clock  *clock.Clock
	maxAge clock.Millis

	mu sync.Mutex
	// active is the edition in force, and confirmed when it was known to be the newest.
	active      catalog.Edition
	confirmedAt clock.Millis
}

func newConfigGate(c *clock.Clock, within clock.Millis) *configGate {
	return &configGate{clock: c, maxAge: within, confirmedAt: clock.Never}
}

// confirm notes that an edition is in force, which was the newest at a time. It names none
// where only the time is new.
func (g *configGate) confirm(edition catalog.Edition, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if edition.Supersedes(g.active) {
		g.active, g.confirmedAt = edition, at
		return
	}
	g.confirmedAt = max(g.confirmedAt, at)
}

// age returns for how long the configuration has not been known to be fresh;
// -1 if it never was.
func (g *configGate) age() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.AgeOf(g.confirmedAt, g.clock.Now())
}

// allows tells whether a request with a key that an edition let pass may be written
// now. One that the gate has not heard of yet is newer than its own.
func (g *configGate) allows(decided catalog.Edition) bool {
	if g.maxAge == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.active.Supersedes(decided) && g.clock.Now().Sub(g.confirmedAt) <= g.maxAge
}
