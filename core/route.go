package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// route is a configured route with its lane and its latencies.
type route struct {
	config    *wire.Route
	lane      *lane
	latencies Latencies
}

func (r *route) firstTokenBound() clock.Millis { return clock.Millis(r.config.GetFirstTokenMs()) }
func (r *route) tokenBound() clock.Millis      { return clock.Millis(r.config.GetTokenMs()) }
func (r *route) isService() bool               { return r.config.GetService() != "" }

// defaultDeadline returns the deadline for a request that does not set one, as a time after its
// arrival.
func (r *route) defaultDeadline(tokens int) clock.Millis {
	if r.isService() {
		return r.firstTokenBound() * deadlineFactor
	}
	return r.firstTokenBound() + r.tokenBound()*clock.Millis(tokens)*deadlineFactor
}

// deadlineFactor is the ratio of the default deadline to the route's bounds. It is generous because
// a lost answer is worse for the client than a late one.
const deadlineFactor = 4
