package reading

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
)

// Errors that callers test for with errors.Is.
var (
	// ErrCannotVouch means that a node does not know well enough whether it
	// knows the newest.
	ErrCannotVouch = errors.New("reading: cannot vouch for what it knows")
	// ErrTooFarBack means that a node no longer knows what has changed since a
	// revision.
	ErrTooFarBack = errors.New("reading: the changes since then are not known any more")
)

const (
	// keptBatches is how many changes of the list are kept for others. A
	// follower is at most a wait behind; a busy list changes a few times a
	// second.
	keptBatches = 64
	// followedFor is for how long a node counts as followed after a question:
	// several waits of its followers.
	followedFor clock.Millis = 5000
)

// batch is what one answer of the store has changed in the list.
type batch struct {
	revision uint64
	changes  []fleet.Change
}

// Log holds what a node has learnt of the store lately, for the nodes that
// follow it. It is safe for concurrent use.
type Log struct {
	clock *clock.Clock
	// vouchFor is how old the proof may be that the newest is known.
	vouchFor clock.Millis

	mu sync.Mutex
	// changed is closed, and replaced, when something has changed.
	changed chan struct{}
	// confirmed is when the configuration was known to be the newest; revision
	// is the store's as of then, and config was read at configAt.
	confirmed clock.Millis
	revision  uint64
	config    []byte
	configAt  uint64
	// The list is known from floor on, up to fleetRevision; listed tells whether
	// it is known at all.
	listed        bool
	floor         uint64
	fleetRevision uint64
	batches       []batch
	// asked is when another node last asked.
	asked clock.Millis
}

// NewLog returns an empty log, which vouches for what it knows for a time.
func NewLog(c *clock.Clock, vouchFor clock.Millis) *Log {
	return &Log{clock: c, vouchFor: vouchFor, changed: make(chan struct{}), confirmed: clock.Never, asked: clock.Never}
}

// SetConfig notes that as of a time a revision is the store's newest. Raw is the
// configuration as the operator wrote it; empty where it has not changed.
func (l *Log) SetConfig(raw []byte, revision uint64, confirmed clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = max(l.confirmed, confirmed)
	l.revision = max(l.revision, revision)
	if len(raw) == 0 || revision < l.configAt {
		return
	}
	l.config, l.configAt = raw, revision
	l.wake()
}

// AddFleet notes changes of the list up to a revision.
func (l *Log) AddFleet(revision uint64, changes []fleet.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed {
		l.listed, l.floor, l.fleetRevision = true, revision, revision
		l.batches = nil
		return
	}
	l.fleetRevision = max(l.fleetRevision, revision)
	if len(changes) == 0 {
		return
	}
	l.batches = append(l.batches, batch{revision: revision, changes: changes})
	if len(l.batches) > keptBatches {
		l.floor = l.batches[0].revision
		l.batches = l.batches[1:]
	}
	l.wake()
}

// Suspend notes that what the list shows cannot be passed on: the store is, or
// was just now, away.
func (l *Log) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed {
		l.listed = false
		l.wake()
	}
}

// wake ends the waits. The caller holds the lock.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Followed tells whether other nodes have asked lately.
func (l *Log) Followed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now() < l.asked.Add(followedFor)
}

// AwaitConfig returns the configuration if it is newer than a revision, as soon
// as it is, or none when the wait is over. The age of the proof counts from the
// question, and is negative for one that came meanwhile: who asked knows when.
func (l *Log) AwaitConfig(ctx context.Context, after uint64, wait clock.Millis) (follow.CatalogReading, error) {
	var reading follow.CatalogReading
	asked := l.clock.Now()
	err := l.await(ctx, wait, func(clock.Millis) (bool, error) {
		reading = follow.CatalogReading{Revision: max(l.revision, after), Age: asked.Sub(l.confirmed)}
		if l.configAt > after {
			reading.Raw = l.config
		}
		return len(reading.Raw) > 0, nil
	})
	return reading, err
}

// AwaitFleet returns the changes of the list after a revision, as soon as there
// are some, or none when the wait is over.
func (l *Log) AwaitFleet(ctx context.Context, after uint64, wait clock.Millis) (follow.FleetReading, error) {
	var reading follow.FleetReading
	err := l.await(ctx, wait, func(clock.Millis) (bool, error) {
		reading = follow.FleetReading{Revision: max(l.fleetRevision, after)}
		switch {
		case !l.listed:
			return false, ErrCannotVouch
		case after < l.floor:
			return false, ErrTooFarBack
		}
		for _, b := range l.batches {
			if b.revision > after {
				reading.Changes = append(reading.Changes, b.changes...)
			}
		}
		return len(reading.Changes) > 0, nil
	})
	return reading, err
}

// await looks, under the lock, until there is something new or the wait is over.
// It fails as soon as the log cannot vouch any more.
func (l *Log) await(ctx context.Context, wait clock.Millis, look func(now clock.Millis) (bool, error)) error {
	until := l.clock.Now().Add(wait)
	for {
		now, vouched, changed, found, err := l.look(look)
		if err != nil || found || now >= until {
			return err
		}
		// One more, since the clock rounds down.
		timer := time.NewTimer((min(until, vouched).Sub(now) + 1).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// look is one look of await. Vouched is until when the log can vouch.
func (l *Log) look(look func(now clock.Millis) (bool, error)) (now, vouched clock.Millis, changed <-chan struct{}, found bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.clock.Now()
	l.asked = now
	vouched = l.confirmed.Add(l.vouchFor)
	if now > vouched {
		return now, vouched, nil, false, ErrCannotVouch
	}
	found, err = look(now)
	return now, vouched, l.changed, found, err
}
