package reading

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
)

// Errors that callers test for with errors.Is.
var (
	// ErrStale means that a node does not know well enough whether it
	// knows the newest.
	ErrStale = errors.New("reading: cannot vouch for what it knows")
	// ErrBehind means that who asks knows more than the node: a newer configuration, or
	// the list in a later era of the store. What the node knows proves nothing of that.
	ErrBehind = errors.New("reading: behind who asks")
)

const (
	// maxBatches is how many changes of the list are kept for others. A
	// follower is at most a wait behind; a busy list changes a few times a
	// second.
	maxBatches = 64
	// followerTimeout is for how long a node counts as followed after a question:
	// several waits of its followers.
	followerTimeout clock.Millis = 5000
	// endedRetention is for how long answers tell of upstreams that ended without a change at
	// the store, each time: who asks may have been frozen or cut off meanwhile.
	endedRetention clock.Millis = 60_000
	// restoreGrace is for how long after the store's return it may show what this node knows to
	// be over.
	restoreGrace = fleet.RestoreGrace
	// endedReplay is for how long a question is answered at once for such an end: some
	// more than a follower's pause between two questions.
	endedReplay clock.Millis = 700
)

// batch is what one answer of the store has changed in the list.
type batch struct {
	asOf    moment.Moment
	changes []fleet.Change
}

// removal is when an upstream was found to be gone, and whether its process has ended for
// certain.
type removal struct {
	at           clock.Millis
	processEnded bool
}

// Log holds what a node has learnt of the store lately, for the nodes that
// follow it. It is safe for concurrent use.
type Log struct {
	clock *clock.Clock
	// proofLifetime is how old the proof may be that the newest is known, and firstRequestWait
	// for how long a first question may wait for one.
	proofLifetime    clock.Millis
	firstRequestWait clock.Millis

	mu sync.Mutex
	// changed is closed, and replaced, when something has changed.
	changed chan struct{}
	// config is the configuration in force.
	config follow.PublishedConfig
	// The list stands in upstreams as of a moment, and its changes are known from floor on;
	// listed tells whether it is known at all.
	hasList      bool
	upstreams    map[fleet.Incarnation]fleet.Upstream
	historyStart moment.Moment
	asOf         moment.Moment
	batches      []batch
	// restoredAt is when the store has come back from a copy last.
	restoredAt clock.Millis
	// listToken is what the whole list is called, and a new one with each change of it.
	listToken uint64
	// ended are upstreams that were found to be gone without a change at the store, by
	// when.
	ended map[fleet.Incarnation]removal
	// lastRequest is when another node last asked, and followedSince when the first did
	// after a time in which none had.
	lastRequest   clock.Millis
	followedSince clock.Millis
}

// NewLog returns an empty log, which vouches for what it knows for a time after the store has
// answered. VouchSoon is
// how long a first question may wait for a proof that it does not have: the node may learn
// only now that it reads for others.
func NewLog(c *clock.Clock, vouchFor, vouchSoon clock.Millis) *Log {
	return &Log{
		clock: c, proofLifetime: vouchFor, firstRequestWait: vouchSoon, changed: make(chan struct{}), config: follow.PublishedConfig{ActiveConfig: follow.ActiveConfig{Confirmed: clock.Never}, AnsweredAt: clock.Never},
		restoredAt: clock.Never, listToken: rand.Uint64(), ended: make(map[fleet.Incarnation]removal), lastRequest: clock.Never, followedSince: clock.Never, upstreams: make(map[fleet.Incarnation]fleet.Upstream),
	}
}

// SetConfig notes the configuration in force, and when the store has answered last.
func (l *Log) SetConfig(k follow.PublishedConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := k.AnsweredAt > l.config.AnsweredAt || k.Confirmed > l.config.Confirmed || !k.Edition.SameText(l.config.Edition)
	k.AnsweredAt = max(k.AnsweredAt, l.config.AnsweredAt)
	l.config = k
	if news {
		l.notifyWaiters()
	}
}

// SetFleet notes the whole list as of a moment. What has led to it is not known.
func (l *Log) SetFleet(asOf moment.Moment, list []fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := maps.Clone(l.upstreams)
	clear(l.upstreams)
	for _, u := range list {
		l.upstreams[u.ID] = u
		delete(l.ended, u.ID)
	}
	l.hasList, l.historyStart, l.asOf = true, asOf, asOf
	l.batches = nil
	if !maps.Equal(before, l.upstreams) {
		l.listToken++
	}
	l.notifyWaiters()
}

// AddFleet notes changes of the list up to a moment, of the era in which it stands. They count
// only while the list is known.
func (l *Log) AddFleet(asOf moment.Moment, changes []fleet.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasList || !asOf.SameEra(l.asOf) {
		return
	}
	l.asOf = moment.Latest(l.asOf, asOf)
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
	l.listToken++
	l.batches = append(l.batches, batch{asOf: asOf, changes: changes})
	if len(l.batches) > maxBatches {
		l.historyStart = l.batches[0].asOf
		l.batches = l.batches[1:]
	}
	l.notifyWaiters()
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
				l.listToken++
			}
			delete(l.upstreams, c.ID)
			l.ended[c.ID] = removal{at: now, processEnded: c.Ended || l.ended[c.ID].processEnded}
		}
	}
	maps.DeleteFunc(l.ended, func(_ fleet.Incarnation, e removal) bool { return now >= e.at.Add(endedRetention) })
	if len(ended) > 0 {
		l.notifyWaiters()
	}
}

// Returned notes that the store has come back from a copy. Who has read that alone, and not
// been told by this node yet what it remembers, is told the whole list for a while.
func (l *Log) Returned() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredAt = l.clock.Now()
}

// Suspend notes that what the list shows cannot be passed on: the store is, or
// was just now, away.
func (l *Log) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasList {
		l.hasList = false
		l.notifyWaiters()
	}
}

// notifyWaiters ends the waits. The caller holds the lock.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// HasFollowers tells whether other nodes have asked lately.
func (l *Log) HasFollowers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now() < l.lastRequest.Add(followerTimeout)
}

// NeedsProof tells whether other nodes wait for a proof that this one does not have.
func (l *Log) NeedsProof() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return now < l.lastRequest.Add(followerTimeout) && !l.isFresh(now)
}

// AwaitConfig returns the configuration in force if it supersedes the one that who asks has, as
// soon as it does, or none when the wait is over or the store has answered again: who asks
// knows it to be as fresh as this node does. Ages count from the question, and are negative for
// what came meanwhile.
func (l *Log) AwaitConfig(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	var reading follow.CatalogReading
	var behind bool
	asked, answered := l.clock.Now(), l.AnsweredAt()
	err := l.await(ctx, wait, func() (bool, error) {
		k := l.config
		if behind = have.Supersedes(k.Edition); behind {
			// A change that who asks has read itself is known here in a moment too.
			return false, nil
		}
		reading = follow.CatalogReading{Edition: k.Edition, Age: asked.Sub(k.Confirmed), AnsweredAge: asked.Sub(k.AnsweredAt)}
		if k.Edition.Supersedes(have) {
			reading.Raw = k.Raw
		}
		return len(reading.Raw) > 0 || k.AnsweredAt > answered, nil
	})
	if err == nil && behind {
		err = ErrBehind
	}
	return reading, err
}

// AnsweredAt is when the last call was sent that the store has answered, to this node or to the
// one that it follows.
func (l *Log) AnsweredAt() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.AnsweredAt
}

// AwaitFleet returns the changes of the list after a moment, as soon as there
// are some, or none when the wait is over. Where they are not known, as after the store's
// return from a copy, it returns the whole list. Have is the token of the whole list that this
// node has told who asks last; 0 for none.
func (l *Log) AwaitFleet(ctx context.Context, after moment.Moment, have uint64, wait clock.Millis) (follow.FleetReading, error) {
	var reading follow.FleetReading
	asked := l.clock.Now()
	err := l.await(ctx, wait, func() (bool, error) {
		reading = follow.FleetReading{AsOf: moment.Latest(l.asOf, after)}
		switch {
		case !l.hasList:
			return false, ErrStale
		case after.After(l.asOf) && !after.SameEra(l.asOf):
			return false, ErrBehind
		case l.historyStart.After(after), have == 0 && l.clock.Now() < l.restoredAt.Add(restoreGrace):
			reading.Whole, reading.Changes, reading.Token = true, l.fullList(), l.listToken
			return true, nil
		}
		for _, b := range l.batches {
			if b.asOf.After(after) {
				reading.Changes = append(reading.Changes, b.changes...)
			}
		}
		news := len(reading.Changes) > 0
		ended, soon := l.endedSince(asked.Sub(endedReplay))
		reading.Changes = append(reading.Changes, ended...)
		return news || soon, nil
	})
	return reading, err
}

// endedSince returns what has ended without a change at the store, and whether some of
// it has after a time. The caller holds the lock.
func (l *Log) endedSince(after clock.Millis) (list []fleet.Change, soon bool) {
	for _, id := range slices.SortedFunc(maps.Keys(l.ended), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Gone: true, Ended: l.ended[id].processEnded})
		soon = soon || l.ended[id].at > after
	}
	return list, soon
}

// fullList returns the list as changes from nothing. The caller holds the lock.
func (l *Log) fullList() []fleet.Change {
	list := make([]fleet.Change, 0, len(l.upstreams))
	for _, id := range slices.SortedFunc(maps.Keys(l.upstreams), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Upstream: l.upstreams[id]})
	}
	return list
}

// isFresh tells whether the store has answered recently enough. The caller holds the lock.
func (l *Log) isFresh(now clock.Millis) bool { return now <= l.config.AnsweredAt.Add(l.proofLifetime) }
