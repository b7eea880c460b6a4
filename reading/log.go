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
	// ErrStale means that the node has no recent enough proof that its data is the newest.
	ErrStale = errors.New("reading: cannot vouch for what it knows")
	// ErrStarting means that the node has just started and has no first reading of the store yet.
	ErrStarting = errors.New("reading: has not read the store since its start")
	// ErrBehind means that the requester has newer data than this node: a newer configuration,
	// or a list from a later era of the store. The data of this node cannot confirm the
	// requester's.
	ErrBehind = errors.New("reading: behind who asks")
)

const (
	// startingPeriod bounds how long after its start a node without a reading of the store lets
	// requests of nodes that start too wait for one. A node that is refused reads all pages of the
	// list from the store itself, which takes it longer. Callers leave after 2 s, so a node that has
	// waited longer than this could not serve its first requests in time.
	startingPeriod clock.Millis = 1500
	// maxBatches bounds the responses of the store whose list changes are kept for followers. A
	// follower is at most one wait behind, and a busy list changes a few times a second.
	maxBatches = 64
	// followerTimeout is how long after a request the node counts as followed. It covers
	// several waits of a follower.
	followerTimeout clock.Millis = 5000
	// endedRetention is how long responses repeat the removal of an upstream that the store did
	// not announce as a change, since a follower may have been frozen or disconnected when it
	// was sent first.
	endedRetention clock.Millis = 60_000
	// restoreGrace is how long after a restore the store may list upstreams that this node
	// knows to be removed.
	restoreGrace = fleet.RestoreGrace
	// endedReplay is how long after such a removal a request returns immediately with it. It
	// exceeds a follower's pause between two requests.
	endedReplay clock.Millis = 700
)

// batch is the set of list changes in one response of the store.
type batch struct {
	asOf    moment.Moment
	changes []fleet.Change
}

// removal is when an upstream was found to be removed, and whether its process is known to have
// ended.
type removal struct {
	at           clock.Millis
	processEnded bool
}

// Log holds what a node has recently read from the store, for the nodes that follow it. It is
// safe for concurrent use.
type Log struct {
	clock *clock.Clock
	// proofLifetime is the maximum age of the proof that the data is the newest, and
	// firstRequestWait how long a first request may wait for such a proof.
	proofLifetime    clock.Millis
	firstRequestWait clock.Millis

	mu sync.Mutex
	// startingUntil is the end of the period in which the node may still wait for its first
	// reading; clock.Never once the store has failed to provide it.
	startingUntil clock.Millis
	// changed is closed and replaced whenever the log changes.
	changed chan struct{}
	// config is the active configuration.
	config follow.PublishedConfig
	// hasList reports whether the list is known. upstreams is the list as of asOf, and batches
	// are its changes after historyStart.
	hasList      bool
	upstreams    map[fleet.Incarnation]fleet.Upstream
	historyStart moment.Moment
	asOf         moment.Moment
	batches      []batch
	// restoredAt is when the last store restore was noticed.
	restoredAt clock.Millis
	// listToken identifies the full list and changes with it. cachedList is the full list with
	// cachedToken, as the followers get it.
	listToken   uint64
	cachedToken uint64
	cachedList  []fleet.Change
	// ended holds the upstreams that were found to be removed without a change at the store.
	ended map[fleet.Incarnation]removal
	// lastRequest is when another node last sent a request. followedSince is when a request
	// first arrived after an interval of followerTimeout without any.
	lastRequest   clock.Millis
	followedSince clock.Millis
}

// NewLog returns an empty log, which answers requests for proofLifetime after each answer of
// the store. A first request may wait up to firstRequestWait for a proof, because the node may
// learn only from this request that it is the reader.
func NewLog(c *clock.Clock, proofLifetime, firstRequestWait clock.Millis) *Log {
	return &Log{
		startingUntil: c.Now().Add(startingPeriod),
		clock:         c, proofLifetime: proofLifetime, firstRequestWait: firstRequestWait, changed: make(chan struct{}), config: follow.PublishedConfig{ActiveConfig: follow.ActiveConfig{Confirmed: clock.Never}, AnsweredAt: clock.Never},
		restoredAt: clock.Never, listToken: rand.Uint64(), ended: make(map[fleet.Incarnation]removal), lastRequest: clock.Never, followedSince: clock.Never, upstreams: make(map[fleet.Incarnation]fleet.Upstream),
	}
}

// SetConfig records the active configuration and when the store last answered.
func (l *Log) SetConfig(config follow.PublishedConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := config.AnsweredAt > l.config.AnsweredAt || config.Confirmed > l.config.Confirmed || !config.Edition.SameText(l.config.Edition)
	config.AnsweredAt = max(config.AnsweredAt, l.config.AnsweredAt)
	l.config = config
	if changed {
		l.notifyWaiters()
	}
}

// SetFleet records the full list as of a moment and drops the earlier changes.
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

// AddFleet records changes of the list up to a moment. It ignores them if the list is not known
// or belongs to another era.
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

// AddEnded records upstreams that were removed without a change at the store. A follower that
// knows the newest revision may still have them.
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

// MarkRestored records that the store was restored from a backup. For restoreGrace, a follower that
// has no list of this node yet gets the full list, which includes what the backup has lost.
func (l *Log) MarkRestored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredAt = l.clock.Now()
}

// Suspend rejects requests for the list until the next SetFleet, because a store outage makes
// it unreliable.
func (l *Log) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasList || l.startingUntil != clock.Never {
		l.hasList, l.startingUntil = false, clock.Never
		l.notifyWaiters()
	}
}

// notifyWaiters wakes all waiting requests. The caller holds the lock.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// HasFollowers reports whether another node sent a request within followerTimeout.
func (l *Log) HasFollowers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now() < l.lastRequest.Add(followerTimeout)
}

// NeedsProof reports whether followers wait for a proof that this node does not have.
func (l *Log) NeedsProof() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return now < l.lastRequest.Add(followerTimeout) && !l.isFresh(now)
}

// AwaitConfig returns the active configuration as soon as it supersedes the edition that the
// requester has. It returns none when the wait is over, or when the store has answered again:
// the requester's proof is then as recent as this node's. The ages in the result are relative
// to the start of the request, so they are negative for answers of the store that arrive later.
func (l *Log) AwaitConfig(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	var reading follow.CatalogReading
	var behind bool
	requested, answered := l.clock.Now(), l.AnsweredAt()
	err := l.await(ctx, wait, have.IsZero(), func() (bool, error) {
		config := l.config
		if behind = have.Supersedes(config.Edition); behind {
			// A change that the requester has read from the store itself usually arrives in
			// this log soon.
			return false, nil
		}
		reading = follow.CatalogReading{Edition: config.Edition, Age: requested.Sub(config.Confirmed), AnsweredAge: requested.Sub(config.AnsweredAt)}
		if config.Edition.Supersedes(have) {
			reading.Raw = config.Raw
		}
		return len(reading.Raw) > 0 || config.AnsweredAt > answered, nil
	})
	if err == nil && behind {
		err = ErrBehind
	}
	return reading, err
}

// AnsweredAt returns the sending time of the last call that the store has answered, either to
// this node or to its reader.
func (l *Log) AnsweredAt() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.AnsweredAt
}

// AwaitFleet returns the changes of the list after a moment as soon as there are any, or none
// when the wait is over. If the changes are not known, for example after a store restore, it
// returns the full list. have is the token of the last full list that this node sent to the
// requester, or 0.
func (l *Log) AwaitFleet(ctx context.Context, after moment.Moment, have uint64, wait clock.Millis) (follow.FleetReading, error) {
	var reading follow.FleetReading
	requested := l.clock.Now()
	err := l.await(ctx, wait, after.IsZero(), func() (bool, error) {
		reading = follow.FleetReading{AsOf: moment.Latest(l.asOf, after)}
		switch {
		case !l.hasList:
			return false, ErrStale
		case after.InLaterEra(l.asOf):
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
		changed := len(reading.Changes) > 0
		ended, recent := l.endedSince(requested.Sub(endedReplay))
		reading.Changes = append(reading.Changes, ended...)
		return changed || recent, nil
	})
	return reading, err
}

// endedSince returns all recorded removals without a change at the store. recent reports
// whether any of them is later than after. The caller holds the lock.
func (l *Log) endedSince(after clock.Millis) (list []fleet.Change, recent bool) {
	for _, id := range slices.SortedFunc(maps.Keys(l.ended), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Gone: true, Ended: l.ended[id].processEnded})
		recent = recent || l.ended[id].at > after
	}
	return list, recent
}

// fullList returns the list as changes of an empty list. All nodes that start together request
// it, so it is built once for each token. The caller holds the lock and does not change the
// result.
func (l *Log) fullList() []fleet.Change {
	if l.cachedList != nil && l.cachedToken == l.listToken {
		return l.cachedList
	}
	list := make([]fleet.Change, 0, len(l.upstreams))
	for _, id := range slices.SortedFunc(maps.Keys(l.upstreams), fleet.Incarnation.Compare) {
		list = append(list, fleet.Change{ID: id, Upstream: l.upstreams[id]})
	}
	l.cachedList, l.cachedToken = list, l.listToken
	return list
}

// isFresh reports whether the store has answered within proofLifetime. The caller holds the
// lock.
func (l *Log) isFresh(now clock.Millis) bool { return now <= l.config.AnsweredAt.Add(l.proofLifetime) }
