package follow

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// Outage is the view of store outages that a node's followers share. It is safe for concurrent
// use.
type Outage struct {
	mu      sync.Mutex
	ongoing bool
	// lostAt is when the last call to the store failed, and endedAt when the last outage ended.
	// occurred reports whether there was any outage.
	lostAt   clock.Millis
	endedAt  clock.Millis
	occurred bool
	// recoveredAt is when the store first answered this node after the last outage.
	recoveredAt clock.Millis
	// readerAnswered reports whether a reader has answered since the last failed call, first at
	// firstReaderAnswer and last at lastReaderAnswer. While it answers, the outage counts as
	// ended although this node has not reached the store.
	readerAnswered                      bool
	firstReaderAnswer, lastReaderAnswer clock.Millis
	// era is a moment of the latest era that was read.
	era moment.Moment
	// hasProof reports whether the store has answered this node with the configuration, last at
	// proofAt.
	hasProof bool
	proofAt  clock.Millis
}

// SentBeforeRecovery reports whether a call was sent before the end of the last outage. The
// failure of such a call is no sign of a new outage, since it may have hung since the last one.
func (o *Outage) SentBeforeRecovery(sent clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.occurred && !o.ongoing && sent < o.recoveredAt
}

// RecordFailure records a failed call to the store and reports whether it begins an outage.
func (o *Outage) RecordFailure(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := !o.ongoing
	o.ongoing, o.occurred, o.lostAt, o.readerAnswered = true, true, now, false
	return changed
}

// outageExpiry is how long after its last failed call a node that has followed a reader since
// may call the store again at its probe time.
const outageExpiry clock.Millis = 30_000

// RecordReaderAnswer records an answer of a reader and reports whether it ends an outage that
// is older than outageExpiry.
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

// RecordAnswer records an answer of the store and reports whether it ends an outage.
func (o *Outage) RecordAnswer(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.ongoing
	if changed {
		o.ongoing, o.endedAt, o.recoveredAt = false, now, now
	}
	if changed && o.readerHasStore(now) {
		o.endedAt = o.firstReaderAnswer
	}
	return changed
}

// RecordEra records the moment of a reading and reports whether it is the first in a later era.
// Entries may then be missing as after an outage, although no call has failed.
func (o *Outage) RecordEra(now clock.Millis, asOf moment.Moment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !asOf.InLaterEra(o.era) {
		return false
	}
	o.era = asOf
	o.occurred, o.endedAt = true, now
	return true
}

// readerHasStore reports whether a reader has answered recently. Without recent answers it may
// have lost the store too. The caller holds the lock.
func (o *Outage) readerHasStore(now clock.Millis) bool {
	return o.readerAnswered && now <= o.lastReaderAnswer.Add(readerLossDelay)
}

// RecordProof records that the store has answered this node with the configuration.
func (o *Outage) RecordProof(now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hasProof, o.proofAt = true, now
}

// HasProofSince reports whether the store has answered this node with the configuration since a
// time and no outage is ongoing.
func (o *Outage) HasProofSince(since clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ongoing && o.hasProof && o.proofAt >= since
}

// Ongoing reports whether the store does not answer this node.
func (o *Outage) Ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ongoing
}

// EndedAt returns when the last outage ended; clock.Never if it is ongoing or there was none.
func (o *Outage) EndedAt(now clock.Millis) clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastEnd(now)
}

// lastEnd returns when the last outage ended. The caller holds the lock.
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

// FalseRemovalsPossible reports whether entries that disappear may be falsely removed, because
// an outage is ongoing or has ended less than fleet.RemovalGrace ago.
func (o *Outage) FalseRemovalsPossible(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ongoing && !o.readerHasStore(now) || now < o.lastEnd(now).Add(fleet.RemovalGrace)
}
