package reading

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

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
)

const (
	// keptBatches is how many changes of the list are kept for others. A
	// follower is at most a wait behind; a busy list changes a few times a
	// second.
	keptBatches = 64
	// followedFor is for how long a node counts as followed after a question:
	// several waits of its followers.
	followedFor clock.Millis = 5000
	// endedTold is for how long answers tell of upstreams that ended without a change at
	// the store, each time: who asks may have been frozen or cut off meanwhile.
	endedTold clock.Millis = 60_000
	// endedMissed is for how long a question is answered at once for such an end: some
	// more than a follower's pause between two questions.
	endedMissed clock.Millis = 700
)

// batch is what one answer of the store has changed in the list.
type batch struct {
	revision uint64
	changes  []fleet.Change
}

// ending is when an upstream was found to be gone, and whether its process has ended for
// certain.
type ending struct {
	at      clock.Millis
	certain bool
}

// Log holds what a node has learnt of the store lately, for the nodes that
// follow it. It is safe for concurrent use.
type Log struct {
	clock *clock.Clock
	// vouchFor is how old the proof may be that the newest is known, and vouchSoon
	// for how long a first question may wait for one.
	vouchFor  clock.Millis
	vouchSoon clock.Millis

	mu sync.Mutex
	// changed is closed, and replaced, when something has changed.
	changed chan struct{}
	// confirmed is when the configuration was known to be the newest; revision
	// is the store's as of then, and config was read at configAt.
	confirmed clock.Millis
	revision  uint64
	config    []byte
	configAt  uint64
	// The list stands in upstreams as of fleetRevision, and its changes are known
	// from floor on; listed tells whether it is known at all.
	listed        bool
	upstreams     map[fleet.Incarnation]fleet.Upstream
	floor         uint64
	fleetRevision uint64
	batches       []batch
	// token is what the whole list is called, and a new one with each change of it.
	token uint64
	// ended are upstreams that were found to be gone without a change at the store, by
	// when.
	ended map[fleet.Incarnation]ending
	// asked is when another node last asked, and followedSince when the first did
	// after a time in which none had.
	asked         clock.Millis
	followedSince clock.Millis
}

// NewLog returns an empty log, which vouches for what it knows for a time. VouchSoon is
// how long a first question may wait for a proof that it does not have: the node may learn
// only now that it reads for others.
func NewLog(c *clock.Clock, vouchFor, vouchSoon clock.Millis) *Log {
	return &Log{
		clock: c, vouchFor: vouchFor, vouchSoon: vouchSoon, changed: make(chan struct{}), confirmed: clock.Never,
		token: rand.Uint64(), ended: make(map[fleet.Incarnation]ending), asked: clock.Never, followedSince: clock.Never, upstreams: make(map[fleet.Incarnation]fleet.Upstream),
	}
}

// SetConfig notes that as of a time a revision is the store's newest. Raw is the
// configuration as the operator wrote it; empty where it has not changed. It returns false
// for one that nodes that follow are not told.
func (l *Log) SetConfig(raw []byte, revision uint64, confirmed clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if confirmed > l.confirmed {
		l.confirmed = confirmed
		l.wake()
	}
	l.revision = max(l.revision, revision)
	if len(raw) == 0 || revision < l.configAt {
		return len(raw) == 0
	}
	l.config, l.configAt = raw, revision
	l.wake()
	return true
}

// SetFleet notes the whole list as of a revision. What has led to it is not known.
func (l *Log) SetFleet(revision uint64, list []fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := maps.Clone(l.upstreams)
	clear(l.upstreams)
	for _, u := range list {
		l.upstreams[u.ID] = u
		delete(l.ended, u.ID)
	}
	l.listed, l.floor, l.fleetRevision = true, revision, revision
	l.batches = nil
	if !maps.Equal(before, l.upstreams) {
		l.token++
	}
	l.wake()
}

// AddFleet notes changes of the list up to a revision. They count only while the
// list is known.
func (l *Log) AddFleet(revision uint64, changes []fleet.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed {
		return
	}
	l.fleetRevision = max(l.fleetRevision, revision)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Gone {
			delete(l.upstreams, c.ID)
			continue
		}
		l.upstreams[c.ID] = c.Upstream
		delete(l.ended, c.ID)
	}
	l.token++
	l.batches = append(l.batches, batch{revision: revision, changes: changes})
	if len(l.batches) > keptBatches {
		l.floor = l.batches[0].revision
		l.batches = l.batches[1:]
	}
	l.wake()
}

// AddEnded notes upstreams that are gone although nothing has changed at the store: who
// asks may know the newest revision and still count on them.
func (l *Log) AddEnded(ended []fleet.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, c := range ended {
		if c.Gone {
			if _, listed := l.upstreams[c.ID]; listed {
				l.token++
			}
			delete(l.upstreams, c.ID)
			l.ended[c.ID] = ending{at: now, certain: c.Ended || l.ended[c.ID].certain}
		}
	}
	maps.DeleteFunc(l.ended, func(_ fleet.Incarnation, e ending) bool { return now >= e.at.Add(endedTold) })
	if len(ended) > 0 {
		l.wake()
	}
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

// Overdue tells whether other nodes wait for a proof that this one does not have.
func (l *Log) Overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return now < l.asked.Add(followedFor) && !l.vouches(now)
}

// AwaitConfig returns the configuration if it is newer than a revision, as soon
// as it is, or none when the wait is over or there is a newer proof that it is the
// newest: who asks knows it to be as fresh as this node does. The age of the proof
// counts from the question, and is negative for one that came meanwhile.
func (l *Log) AwaitConfig(ctx context.Context, after uint64, wait clock.Millis) (follow.CatalogReading, error) {
	var reading follow.CatalogReading
	asked, known := l.clock.Now(), l.proof()
	err := l.await(ctx, wait, func() (bool, error) {
		reading = follow.CatalogReading{Revision: max(l.revision, after), Age: asked.Sub(l.confirmed)}
		if l.configAt > after {
			reading.Raw = l.config
		}
		return len(reading.Raw) > 0 || l.confirmed > known, nil
	})
	return reading, err
}

// proof is when the configuration was known to be the newest.
func (l *Log) proof() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed
}

// AwaitFleet returns the changes of the list after a revision, as soon as there
// are some, or none when the wait is over. Where they are not known it returns the
// whole list.
func (l *Log) AwaitFleet(ctx context.Context, after uint64, wait clock.Millis) (follow.FleetReading, error) {
	var reading follow.FleetReading
	asked := l.clock.Now()
	err := l.await(ctx, wait, func() (bool, error) {
		reading = follow.FleetReading{Revision: max(l.fleetRevision, after)}
		switch {
		case !l.listed:
			return false, ErrCannotVouch
		case after < l.floor:
			reading.Whole, reading.Changes, reading.Token = true, l.whole(), l.token
			return true, nil
		}
		for _, b := range l.batches {
			if b.revision > after {
				reading.Changes = append(reading.Changes, b.changes...)
			}
		}
		news := len(reading.Changes) > 0
		ended, soon := l.endedSince(asked.Sub(endedMissed))
		reading.Changes = append(reading.Changes, ended...)
		return news || soon, nil
	})
	return reading, err
}

// endedSince returns what has ended without a change at the store, and whether some of
// it has after a time. The caller holds the lock.
func (l *Log) endedSince(after clock.Millis) (list []fleet.Change, soon bool) {
	for _, id := range slices.SortedFunc(maps.Keys(l.ended), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Gone: true, Ended: l.ended[id].certain})
		soon = soon || l.ended[id].at > after
	}
	return list, soon
}

// whole returns the list as changes from nothing. The caller holds the lock.
func (l *Log) whole() []fleet.Change {
	list := make([]fleet.Change, 0, len(l.upstreams))
	for _, id := range slices.SortedFunc(maps.Keys(l.upstreams), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Upstream: l.upstreams[id]})
	}
	return list
}

// vouches tells whether the proof is recent enough. The caller holds the lock.
func (l *Log) vouches(now clock.Millis) bool { return now <= l.confirmed.Add(l.vouchFor) }
