package relay

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// gate stays open for requests with a key while the configuration that decided
// them is in force and fresh. It is asked right before a request is written,
// since the process may have stood still after the decision, and the key may
// have been taken away meanwhile.
type gate struct {
	clock  *clock.Clock
	within clock.Millis

	mu sync.Mutex
	// inForce is the edition in force, and confirmed when it was known to be the newest.
	inForce   catalog.Edition
	confirmed clock.Millis
}

func newGate(c *clock.Clock, within clock.Millis) *gate {
	return &gate{clock: c, within: within, confirmed: clock.Never}
}

// confirm notes that an edition is in force, which was the newest at a time. It names none
// where only the time is new.
func (g *gate) confirm(edition catalog.Edition, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if edition.Supersedes(g.inForce) {
		g.inForce, g.confirmed = edition, at
		return
	}
	g.confirmed = max(g.confirmed, at)
}

// age returns for how long the configuration has not been known to be fresh;
// -1 if it never was.
func (g *gate) age() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.AgeOf(g.confirmed, g.clock.Now())
}

// open tells whether a request with a key that an edition let pass may be written
// now. One that the gate has not heard of yet is newer than its own.
func (g *gate) open(decided catalog.Edition) bool {
	if g.within == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.inForce.Supersedes(decided) && g.clock.Now().Sub(g.confirmed) <= g.within
}
