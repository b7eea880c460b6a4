package follow

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// recentReaderPeriod is for how long a node that has begun to be followed may be one that has
// just had an outage, and holds what has vanished in it.
const recentReaderPeriod = fleet.RemovalGrace + 800

// expiryCheckInterval is how often entries that may come back are looked at.
const expiryCheckInterval clock.Millis = 500

// Fleet follows the list of upstreams.
type Fleet struct {
	base
	source FleetSource
	// mu guards view, publishedAsOf, restoredAt, publishFull and partial: later runs of upstreams are told by
	// whoever hears of them.
	mu        sync.Mutex
	view      *fleet.View
	onChanges func([]fleet.Change)
	// peerList is the newest list that a peer has told.
	peerList atomic.Pointer[peerList]
	// current is the list as it stands, for peers.
	current atomic.Pointer[[]fleet.Upstream]
	// confirmedAt is when the list was last confirmed: a clock.Millis.
	confirmedAt atomic.Int64
	// publishedAsOf is the latest moment as of which nodes that follow have been told.
	publishedAsOf moment.Moment
	// restoredAt is when this node has seen the store come back from a copy.
	restoredAt clock.Millis
	// publishFull tells that the store was lost, or peers were listened to, since the list
	// was last passed on, and partial that it may lack what has lapsed.
	publishFull bool
	incomplete  bool
}

// NewFleet returns a follower of the list.
func NewFleet(source FleetSource, c *clock.Clock, log *zap.Logger, outage *Outage, tell func([]fleet.Change), opts ...Option) *Fleet {
	f := &Fleet{
		base: newBase(c, log, outage, opts), source: source, view: fleet.NewView(), onChanges: tell,
		restoredAt: clock.Never,
	}
	f.confirmedAt.Store(int64(clock.Never))
	return f
}

// fleetProgress is how far a follower of the list has come.
type fleetProgress struct {
	// asOf is up to when the store was read.
	asOf moment.Moment
	// hasRead says that something has been read, and whole that the whole is to be
	// read next if the store is asked.
	hasRead   bool
	needsFull bool
	// paused is for how long further changes have gathered since the last answer.
	paused clock.Millis
	// failures counts the store's failed calls in a row.
	failures int
	// target says how sure it is that whoever is asked next is there.
	target targetState
	// reader is the node that is followed, nil for none, and since when.
	reader      Reader
	readerSince clock.Millis
}

// setReader notes whom the next call goes to. A node that has had an outage holds what
// vanished in it, and tells the moment at which it has: who leaves it meanwhile must not
// count on that.
func (p *fleetProgress) setReader(reader Reader, now clock.Millis) {
	if reader == p.reader {
		return
	}
	p.needsFull = p.needsFull || p.reader != nil && now < p.readerSince.Add(recentReaderPeriod)
	p.reader, p.readerSince = reader, now
}

// Run follows until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	p := fleetProgress{needsFull: true}
	for ctx.Err() == nil {
		f.expire(f.clock.Now())
		reader, waits := f.selectReader(p.hasRead)
		if waits {
			f.applyPeerList(f.clock.Now())
			clock.Sleep(ctx, pollInterval(p.hasRead))
			continue
		}
		p.setReader(reader, f.clock.Now())
		sent := f.clock.Now()
		reading, err := f.request(ctx, reader, p)
		if err != nil {
			f.handleError(ctx, &p, sent, err)
			continue
		}
		now := f.clock.Now()
		f.confirmedAt.Store(int64(now))
		f.recordAnswer("fleet", reader)
		f.checkEra(now, p, reading.AsOf)
		// What another node tells has lapsed nowhere: it answers for no list that
		// it is in doubt of.
		reading.Whole = reading.Whole || reader == nil && p.needsFull
		f.apply(now, reading, reader == nil && f.outage.FalseRemovalsPossible(now))
		p = fleetProgress{asOf: reading.AsOf, hasRead: true, reader: p.reader, readerSince: p.readerSince}
		if len(reading.Changes) > 0 {
			p.paused = f.gatherPause(reader != nil)
			clock.Sleep(ctx, p.paused.Duration())
		}
	}
	return ctx.Err()
}

// checkEra takes in that a list was read in another era than before. One that is read for the
// first time may be a copy's too: the store may have come back a moment ago.
func (f *Fleet) checkEra(now clock.Millis, p fleetProgress, asOf moment.Moment) {
	if p.hasRead && asOf.SameEra(p.asOf) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Returned(now)
	if p.hasRead {
		f.restoredAt = now
		f.checkRestore("fleet", p.asOf, asOf)
		f.publisher.Returned()
	}
}

// handleError says how to go on after a call that was sent at a time and failed.
func (f *Fleet) handleError(ctx context.Context, p *fleetProgress, sent clock.Millis, err error) {
	p.paused, p.target = 0, p.target.next(err, p.failures)
	switch {
	case p.target == unresponsive:
		f.logRetry(ctx, "fleet", err)
	case errors.Is(err, ErrFullReadRequired):
		f.log.Info("fleet_history_gone", zap.Stringer("as_of", p.asOf), logging.Err(err))
		p.needsFull = true
	case errors.Is(err, errReaderFailed):
	default:
		p.needsFull = true
		alone := !errors.Is(err, ErrNoAnswer) && f.outage.HasProofSince(sent.Sub(listRefusalWindow))
		if !alone && !f.recordFailure(ctx, "fleet", sent, err) {
			return
		}
		f.mu.Lock()
		f.view.StoreLost()
		f.publishFull = true
		f.mu.Unlock()
		f.publisher.Suspend()
		p.failures++
		f.waitForStore(ctx, p.hasRead, !alone, storePause(p.failures))
	}
}

// listRefusalWindow is how long before the call for the list the store may have answered another one
// for the list alone to be refused: a wait for the configuration. The store is not away then.
// A node that took it for away would be left by all that follow it, back a moment later by the
// configuration's word, and be followed and left again for as long as the list is refused.
const listRefusalWindow = followedConfigWait + slowStoreAnswer

// waitForStore waits until the store is back where it is lost, or another node can be followed. The
// follower of the configuration tries the store; this one only looks whether it has
// succeeded, or tries itself after a while in case only the list cannot be had.
func (f *Fleet) waitForStore(ctx context.Context, read, lost bool, longest clock.Millis) {
	until := f.clock.Now().Add(longest)
	for ctx.Err() == nil {
		if reader, _ := f.selectReader(read); reader != nil {
			return
		}
		f.applyPeerList(f.clock.Now())
		clock.Sleep(ctx, minRetryPause.Duration())
		lost = lost || f.outage.Ongoing()
		if f.clock.Now() >= until || lost && !f.outage.Ongoing() {
			return
		}
	}
}

// request reads the whole list, or awaits what changes after a revision, from
// another node if there is one to follow. A list that is in doubt is asked for
// whole there too: what this node misses, that one may never have missed.
func (f *Fleet) request(ctx context.Context, reader Reader, p fleetProgress) (FleetReading, error) {
	if reader == nil && p.needsFull {
		return f.source.ReadUpstreams(ctx)
	}
	wait := p.target.nextWait(max(f.nextWait(reader != nil)-p.paused, minWait))
	if reader == nil {
		return f.source.AwaitUpstreams(ctx, p.asOf, wait)
	}
	after := p.asOf
	if p.needsFull || f.hasHeldEntries() {
		after = moment.Moment{}
	}
	reading, err := reader.AwaitUpstreams(ctx, after, wait)
	if err == nil && p.asOf.After(reading.AsOf) {
		// It knows less than this node, which may have followed another one until now.
		if !p.asOf.SameEra(reading.AsOf) {
			err = errEarlierEra
		} else {
			reading, err = reader.AwaitUpstreams(ctx, p.asOf, wait)
		}
	}
	if err != nil {
		return reading, f.readerFailed(ctx, "fleet", reader, p.target, err)
	}
	return reading, nil
}

// errEarlierEra is why a list is not taken that another node has told: the store has come back
// from a copy since, and that node does not know it yet.
var errEarlierEra = errors.New("follow: the list is of an earlier era")

// nextWait is how long the next change is awaited; told, from another node.
func (f *Fleet) nextWait(told bool) clock.Millis {
	switch next, ok := f.nextExpiry(); {
	case ok:
		return min(max(next.Sub(f.clock.Now()), minWait), expiryCheckInterval)
	case told:
		return readerListWait
	case f.readers.Followed():
		return min(f.limits.listWait, followedListWait)
	default:
		return f.limits.listWait
	}
}

// gatherPause returns the pause after a change of the list. Calls to another node
// cost next to nothing, and those of a node that others follow are few.
func (f *Fleet) gatherPause(told bool) clock.Millis {
	next, ok := f.nextExpiry()
	switch {
	case ok:
		// Entries that may come back are looked at in time.
		return min(max(next.Sub(f.clock.Now()), minWait), gatherFollowed)
	case told, f.readers.Followed():
		return gatherFollowed
	case f.clock.Now() < startPeriod:
		return gatherAtStart
	default:
		return gatherAlone
	}
}

// hasHeldEntries tells whether some entry may still come back.
func (f *Fleet) hasHeldEntries() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HasMissing()
}

// nextExpiry is when the next of them is taken as gone; ok is false for none.
func (f *Fleet) nextExpiry() (at clock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.NextExpiry()
}

// AsOf is up to when the store was read for the list.
func (f *Fleet) AsOf() moment.Moment {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publishedAsOf
}

// HasList tells whether any list is known.
func (f *Fleet) HasList() bool { return f.current.Load() != nil }

// ListAge returns how long ago the store, the node that is followed in its place or a
// peer last told what the list is; -1 if none ever did.
func (f *Fleet) ListAge() clock.Millis {
	return clock.AgeOf(clock.Millis(f.confirmedAt.Load()), f.clock.Now())
}
