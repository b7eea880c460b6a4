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
	since clock.Millis
	ended clock.Millis
	ever  bool
	// told tells that another node that has the store has answered since, at toldAt
	// first: the outage is over by then, although this node has not tried the store.
	told   bool
	toldAt clock.Millis
}

// Lost notes a call without an answer, and returns whether that is news.
func (o *Outage) Lost(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := !o.away
	o.away, o.ever, o.since, o.told = true, true, now, false
	return news
}

// forgottenAfter is after how long a node that has lost the store, and follows
// another one since, may try it again when its turn comes.
const forgottenAfter clock.Millis = 30_000

// Told notes an answer of another node, and returns whether the outage is so long
// ago that it no longer counts.
func (o *Outage) Told(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.away && !o.told {
		o.told, o.toldAt = true, now
	}
	if !o.away || now < o.since.Add(forgottenAfter) {
		return false
	}
	o.away, o.ended = false, o.toldAt
	return true
}

// Back notes an answer, and returns whether that is news.
func (o *Outage) Back(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := o.away
	if news {
		o.away, o.ended = false, now
	}
	if news && o.told {
		o.ended = o.toldAt
	}
	return news
}

// Away tells whether the store does not answer.
func (o *Outage) Away() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// Ended returns when the last outage ended; clock.Never while one lasts, or if there was
// none.
func (o *Outage) Ended() clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end()
}

// end is when the last outage ended. The caller holds the lock.
func (o *Outage) end() clock.Millis {
	switch {
	case o.away && o.told:
		return o.toldAt
	case o.away || !o.ever:
		return clock.Never
	default:
		return o.ended
	}
}

// Lapsing tells whether entries that vanish may have lapsed while the store
// was away.
func (o *Outage) Lapsing(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away && !o.told || now < o.end().Add(fleet.LapseGrace)
}
