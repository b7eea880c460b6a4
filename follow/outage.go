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
	// told is when another node first answered in its place since it was lost, and
	// toldLast when one did last; clock.Never if none has.
	told     clock.Millis
	toldLast clock.Millis
}

// Lost notes a call without an answer, and returns whether that is news.
func (o *Outage) Lost(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := !o.away
	o.away, o.ever, o.since = true, true, now
	o.told, o.toldLast = clock.Never, clock.Never
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
	if o.told == clock.Never {
		o.told = now
	}
	o.toldLast = now
	if !o.away || now < o.since.Add(forgottenAfter) {
		return false
	}
	o.away, o.ended = false, now
	return true
}

// Back notes an answer, and returns whether that is news. The outage has ended when
// another node had the store, if one did until just now: what has vanished since then
// that one has told.
func (o *Outage) Back(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := o.away
	if news {
		o.away, o.ended = false, now
		if now <= o.toldLast.Add(readerLost) {
			o.ended = o.told
		}
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
	if o.away || !o.ever {
		return clock.Never
	}
	return o.ended
}

// Lapsing tells whether entries that vanish may have lapsed while the store
// was away.
func (o *Outage) Lapsing(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away || o.ever && now < o.ended.Add(fleet.LapseGrace)
}
