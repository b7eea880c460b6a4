package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// route is what callers name, with the lane that serves it.
type route struct {
	config    *wire.Route
	lane      *lane
	latencies Latencies
}

func (r *route) firstTokenBound() clock.Millis { return clock.Millis(r.config.GetFirstTokenMs()) }
func (r *route) tokenBound() clock.Millis      { return clock.Millis(r.config.GetTokenMs()) }
func (r *route) isService() bool               { return r.config.GetService() != "" }

// defaultDeadline is how long a caller waits that does not say.
func (r *route) defaultDeadline(tokens int) clock.Millis {
	if r.isService() {
		return r.firstTokenBound() * deadlineFactor
	}
	return r.firstTokenBound() + r.tokenBound()*clock.Millis(tokens)*deadlineFactor
}

// deadlineFactor is how far past its bounds an answer may run before it is
// given up. A late notice hurts, a lost one more.
const deadlineFactor = 4
