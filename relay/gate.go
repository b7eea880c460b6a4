package relay

import (
	"sync"

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
	// version is the newest known, and confirmed when it was known to be the
	// newest.
	version   uint64
	confirmed clock.Millis
}

func newGate(c *clock.Clock, within clock.Millis) *gate {
	return &gate{clock: c, within: within, confirmed: clock.Never}
}

// confirm notes that a version was the newest at a time. The version is 0 where
// only the time is new.
func (g *gate) confirm(version uint64, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = max(g.version, version)
	g.confirmed = max(g.confirmed, at)
}

// age returns for how long the configuration has not been known to be fresh;
// -1 if it never was.
func (g *gate) age() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.AgeOf(g.confirmed, g.clock.Now())
}

// open tells whether a request with a key that a version let pass may be written
// now. A version that the gate has not heard of yet is newer than its own.
func (g *gate) open(version uint64) bool {
	if g.within == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return version >= g.version && g.clock.Now().Sub(g.confirmed) <= g.within
}
