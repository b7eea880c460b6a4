package relay

import (
	"sync/atomic"

	"github.com/hoistjunction/hoistjunction/clock"
)

// gate stays open for requests with a key while the configuration is fresh. It
// is looked at right before a request is written, since the process may have
// stood still after the decision.
type gate struct {
	clock     *clock.Clock
	within    clock.Millis
	confirmed atomic.Int64
}

func newGate(c *clock.Clock, within clock.Millis) *gate { return &gate{clock: c, within: within} }

// confirm notes that the configuration in force was the newest at a time.
func (g *gate) confirm(at clock.Millis) {
	for {
		known := g.confirmed.Load()
		if int64(at) <= known || g.confirmed.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// age returns for how long the configuration has not been known to be fresh.
func (g *gate) age() clock.Millis { return g.clock.Now().Sub(clock.Millis(g.confirmed.Load())) }

// open tells whether a request with a key may be written now.
func (g *gate) open() bool { return g.within == 0 || g.age() <= g.within }
