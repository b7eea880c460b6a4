package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// route is what callers name, with the lane that serves it.
type route struct {
	config *wire.Route
	lane   *lane
	times  Times
}

func (r *route) firstBound() clock.Millis { return clock.Millis(r.config.GetFirstTokenMs()) }
func (r *route) tokenBound() clock.Millis { return clock.Millis(r.config.GetTokenMs()) }
func (r *route) service() bool            { return r.config.GetService() != "" }

// usualDeadline is how long a caller waits that does not say.
func (r *route) usualDeadline(tokens int) clock.Millis {
	if r.service() {
		return r.firstBound() * deadlineStretch
	}
	return r.firstBound() + r.tokenBound()*clock.Millis(tokens)*deadlineStretch
}

// deadlineStretch is how far past its bounds an answer may run before it is
// given up. A late notice hurts, a lost one more.
const deadlineStretch = 4
