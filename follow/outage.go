package follow

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// Outage is what the followers know together of the store's being away. It is
// safe for concurrent use.
type Outage struct {
	mu    sync.Mutex
	away  bool
	since clock.Millis
	ended clock.Millis
	ever  bool
	// noticed is when this node was first answered again.
	noticed clock.Millis
	// told tells that another node that has the store has answered since, first at
	// toldAt and last at toldLast: while such answers come the outage is over, although
	// this node has not tried the store.
	told             bool
	toldAt, toldLast clock.Millis
	// era is a moment of the newest era that was read in.
	era moment.Moment
	// proved tells that the store has answered this node itself with the configuration, at
	// provedAt last.
	proved   bool
	provedAt clock.Millis
}

// Outlived tells whether an outage has ended since a call was sent. That the call has
// failed says nothing of the store as it is now: it may have hung since the outage.
func (o *Outage) Outlived(sent clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ever && !o.away && sent < o.noticed
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
	if !o.told {
		o.told, o.toldAt = true, now
	}
	o.toldLast = now
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
		o.away, o.ended, o.noticed = false, now, now
	}
	if news && o.othersHave(now) {
		o.ended = o.toldAt
	}
	return news
}

// Returned notes a reading as of a moment, and returns whether it is the first in an era.
// Entries may then be missing as after an outage, although no call has failed.
func (o *Outage) Returned(now clock.Millis, asOf moment.Moment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if asOf.SameEra(o.era) || !asOf.After(o.era) {
		return false
	}
	o.era = asOf
	o.ever, o.ended = true, now
	return true
}

// othersHave tells whether another node has had the store until just now. Afterwards it
// may have lost it too. The caller holds the lock.
func (o *Outage) othersHave(now clock.Millis) bool {
	return o.told && now <= o.toldLast.Add(readerLost)
}

// Proved notes that the store has answered this node itself with the configuration.
func (o *Outage) Proved(now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proved, o.provedAt = true, now
}

// ProvedSince tells whether it has since a time, and is not away.
func (o *Outage) ProvedSince(since clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.away && o.proved && o.provedAt >= since
}

// Away tells whether the store does not answer.
func (o *Outage) Away() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// Ended returns when the last outage ended; clock.Never while one lasts, or if there was
// none.
func (o *Outage) Ended(now clock.Millis) clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end(now)
}

// end is when the last outage ended. The caller holds the lock.
func (o *Outage) end(now clock.Millis) clock.Millis {
	switch {
	case o.away && o.othersHave(now):
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
	return o.away && !o.othersHave(now) || now < o.end(now).Add(fleet.RemovalGrace)
}
