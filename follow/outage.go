package follow

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Outage is what the followers know together of the store's being away. It is
// safe for concurrent use.
type Outage struct {
	mu    sync.Mutex
	away  bool
	ended clock.Millis
	ever  bool
}

// Lost notes a call without an answer, and returns whether that is news.
func (o *Outage) Lost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := !o.away
	o.away, o.ever = true, true
	return news
}

// Back notes an answer, and returns whether that is news.
func (o *Outage) Back(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := o.away
	if news {
		o.away, o.ended = false, now
	}
	return news
}

// Away tells whether the store does not answer.
func (o *Outage) Away() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// Lapsing tells whether entries that vanish may have lapsed while the store
// was away.
func (o *Outage) Lapsing(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away || o.ever && now < o.ended.Add(fleet.LapseGrace)
}
