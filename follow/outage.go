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
	mu       sync.Mutex
	ongoing  bool
	lostAt   clock.Millis
	endedAt  clock.Millis
	occurred bool
	// recoveredAt is when this node was first answered again.
	recoveredAt clock.Millis
	// readerAnswered tells that another node that has the store has answered since, first at
	// firstReaderAnswer and last at lastReaderAnswer: while such answers come the outage is over, although
	// this node has not tried the store.
	readerAnswered                      bool
	firstReaderAnswer, lastReaderAnswer clock.Millis
	// era is a moment of the newest era that was read in.
	era moment.Moment
	// hasProof tells that the store has answered this node itself with the configuration, at
	// proofAt last.
	hasProof bool
	proofAt  clock.Millis
}

// SentBeforeRecovery tells whether an outage has ended since a call was sent. That the call has
// failed says nothing of the store as it is now: it may have hung since the outage.
func (o *Outage) SentBeforeRecovery(sent clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.occurred && !o.ongoing && sent < o.recoveredAt
}

// RecordFailure notes a call without an answer, and returns whether that is news.
func (o *Outage) RecordFailure(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := !o.ongoing
	o.ongoing, o.occurred, o.lostAt, o.readerAnswered = true, true, now, false
	return news
}

// outageExpiry is after how long a node that has lost the store, and follows
// another one since, may try it again when its turn comes.
const outageExpiry clock.Millis = 30_000

// RecordReaderAnswer notes an answer of another node, and returns whether the outage is so long
// ago that it no longer counts.
func (o *Outage) RecordReaderAnswer(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.readerAnswered {
		o.readerAnswered, o.firstReaderAnswer = true, now
	}
	o.lastReaderAnswer = now
	if !o.ongoing || now < o.lostAt.Add(outageExpiry) {
		return false
	}
	o.ongoing, o.endedAt = false, o.firstReaderAnswer
	return true
}

// RecordAnswer notes an answer, and returns whether that is news.
func (o *Outage) RecordAnswer(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := o.ongoing
	if news {
		o.ongoing, o.endedAt, o.recoveredAt = false, now, now
	}
	if news && o.readerHasStore(now) {
		o.endedAt = o.firstReaderAnswer
	}
	return news
}

// RecordEra notes a reading as of a moment, and returns whether it is the first in an era.
// Entries may then be missing as after an outage, although no call has failed.
func (o *Outage) RecordEra(now clock.Millis, asOf moment.Moment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if asOf.SameEra(o.era) || !asOf.After(o.era) {
		return false
	}
	o.era = asOf
	o.occurred, o.endedAt = true, now
	return true
}

// readerHasStore tells whether another node has had the store until just now. Afterwards it
// may have lost it too. The caller holds the lock.
func (o *Outage) readerHasStore(now clock.Millis) bool {
	return o.readerAnswered && now <= o.lastReaderAnswer.Add(readerLossDelay)
}

// RecordProof notes that the store has answered this node itself with the configuration.
func (o *Outage) RecordProof(now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hasProof, o.proofAt = true, now
}

// HasProofSince tells whether it has since a time, and is not away.
func (o *Outage) HasProofSince(since clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ongoing && o.hasProof && o.proofAt >= since
}

// Ongoing tells whether the store does not answer.
func (o *Outage) Ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ongoing
}

// EndedAt returns when the last outage ended; clock.Never while one lasts, or if there was
// none.
func (o *Outage) EndedAt(now clock.Millis) clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastEnd(now)
}

// lastEnd is when the last outage ended. The caller holds the lock.
func (o *Outage) lastEnd(now clock.Millis) clock.Millis {
	switch {
	case o.ongoing && o.readerHasStore(now):
		return o.firstReaderAnswer
	case o.ongoing || !o.occurred:
		return clock.Never
	default:
		return o.endedAt
	}
}

// FalseRemovalsPossible tells whether entries that vanish may have lapsed while the store
// was away.
func (o *Outage) FalseRemovalsPossible(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ongoing && !o.readerHasStore(now) || now < o.lastEnd(now).Add(fleet.RemovalGrace)
}
