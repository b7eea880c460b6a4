package follow

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// recentReaderPeriod is how long after the first call to a reader that reader may still hold
// entries that disappeared in an outage of its own.
const recentReaderPeriod = fleet.RemovalGrace + 800

// expiryCheckInterval is the longest wait while entries are held.
const expiryCheckInterval clock.Millis = 500

// Fleet follows the list of upstreams.
type Fleet struct {
	base
	source FleetSource
	// mu guards view, publishedAsOf, restoredAt, publishFull and incomplete, because other
	// goroutines report later incarnations of upstreams.
	mu        sync.Mutex
	view      *fleet.View
	onChanges func([]fleet.Change)
	// peerList is the last list received from a peer.
	peerList atomic.Pointer[peerList]
	// current is the current list, for peers.
	current atomic.Pointer[[]fleet.Upstream]
	// confirmedAt is when the list was last confirmed, as a clock.Millis.
	confirmedAt atomic.Int64
	// publishedAsOf is the latest moment up to which changes were published to followers.
	publishedAsOf moment.Moment
	// restoredAt is when this node last noticed a store restore.
	restoredAt clock.Millis
	// publishFull reports that the next reading must be published as a full list, because
	// followers have missed changes without a store revision. incomplete reports that the list
	// may lack falsely removed entries.
	publishFull bool
	incomplete  bool
	// misfits counts entries that do not fit the configuration, by field.
	misfits expvar.Map
}

// NewFleet returns a follower of the list of upstreams, which passes changes to onChanges.
func NewFleet(source FleetSource, c *clock.Clock, log *zap.Logger, outage *Outage, onChanges func([]fleet.Change), opts ...Option) *Fleet {
	f := &Fleet{
		base: newBase(c, log, outage, opts), source: source, view: fleet.NewView(), onChanges: onChanges,
		restoredAt: clock.Never,
	}
	f.confirmedAt.Store(int64(clock.Never))
	return f
}

// fleetProgress is the state of a follower of the list between two calls.
type fleetProgress struct {
	// asOf is the moment up to which the list was read.
	asOf moment.Moment
	// hasRead reports whether anything has been read. needsFull reports whether the next call
	// must read the full list.
	hasRead   bool
	needsFull bool
	// paused is how long the follower has paused since the last answer to collect further
	// changes.
	paused clock.Millis
	// failures is the number of consecutive failed calls to the store.
	failures int
	// target is the assumed state of the store or the reader that gets the next call.
	target targetState
	// reader is the node that is followed, nil for the store, and readerSince since when.
	reader      Reader
	readerSince clock.Millis
}

// setReader records the target of the next call. A reader that recovers from an outage holds
// entries, but publishes the moment at which they disappeared. A follower that leaves such a
// reader needs the full list, since later changes by revision do not include their removal.
func (p *fleetProgress) setReader(reader Reader, now clock.Millis) {
	if reader == p.reader {
		return
	}
	p.needsFull = p.needsFull || p.reader != nil && now < p.readerSince.Add(recentReaderPeriod)
	p.reader, p.readerSince = reader, now
}

// Run follows the list until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	p := fleetProgress{needsFull: true}
	for ctx.Err() == nil {
		f.expire(f.clock.Now())
		reader, pending := f.selectReader(p.hasRead)
		if pending {
			f.applyPeerList(f.clock.Now())
			clock.Sleep(ctx, pollInterval(p.hasRead))
			continue
		}
		p.setReader(reader, f.clock.Now())
		p.needsFull = p.needsFull || reader == nil && f.lacksEntries()
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
		// A reader does not answer while its list may lack entries, so a removal that it
		// reports is never false.
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

// checkEra handles a list of another era than the previous one. It also treats a first list as
// one of a restored store, since the restore may have happened just before.
func (f *Fleet) checkEra(now clock.Millis, p fleetProgress, asOf moment.Moment) {
	if p.hasRead && asOf.SameEra(p.asOf) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.MarkRestored(now)
	if p.hasRead {
		f.restoredAt = now
		f.checkRestore("fleet", p.asOf, asOf)
		f.publisher.MarkRestored()
	}
}

// handleError updates the progress after a failed call that was sent at a time, and pauses
// before a retry.
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
		listOnly := !errors.Is(err, ErrNoAnswer) && f.outage.HasProofSince(sent.Sub(listRefusalWindow))
		if !listOnly && !f.recordFailure(ctx, "fleet", sent, err) {
			return
		}
		f.mu.Lock()
		f.view.StoreLost()
		f.publishFull = true
		f.mu.Unlock()
		f.publisher.Suspend()
		p.failures++
		f.waitForStore(ctx, p.hasRead, !listOnly, storePause(p.failures))
	}
}

// listRefusalWindow bounds how long before a failed call for the list the store may have
// answered a call for the configuration, so that the failure counts as a refusal of the list
// alone. It covers one wait for the configuration. A refusal is no store outage: if the node
// handled it as one, all its followers would leave it, return after the next answer for the
// configuration, and repeat that until the store serves the list again.
const listRefusalWindow = followedConfigWait + slowStoreAnswer

// waitForStore returns when an outage has ended, when another node can be followed, or after
// the longest pause. The follower of the configuration probes the store. The longest pause
// covers the case that the store refuses only the list.
func (f *Fleet) waitForStore(ctx context.Context, hasRead, lost bool, longest clock.Millis) {
	until := f.clock.Now().Add(longest)
	for ctx.Err() == nil {
		if reader, _ := f.selectReader(hasRead); reader != nil {
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

// request awaits changes at the reader, if there is one. Otherwise it reads the full list from
// the store or awaits its changes. It requests the full list from the reader too while entries
// are held, since the reader may never have lost them.
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
		// The reader is behind this node, for example because this node followed another reader
		// before.
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

// errEarlierEra means that a reader's list is from before a store restore which the reader has
// not noticed yet.
var errEarlierEra = errors.New("follow: list of the reader is from an earlier era")

// nextWait returns how long the store, or the reader if fromReader is set, may hold the next
// call.
func (f *Fleet) nextWait(fromReader bool) clock.Millis {
	switch next, ok := f.nextExpiry(); {
	case ok:
		return min(max(next.Sub(f.clock.Now()), minWait), expiryCheckInterval)
	case fromReader:
		return readerListWait
	case f.readers.HasFollowers():
		return min(f.limits.listWait, followedListWait)
	default:
		return f.limits.listWait
	}
}

// gatherPause returns the pause after a change of the list. It is short for calls to a reader,
// which are cheap, and for a node with followers, since few nodes call the store then.
func (f *Fleet) gatherPause(fromReader bool) clock.Millis {
	next, ok := f.nextExpiry()
	switch {
	case ok:
		// Held entries must be checked when their grace period ends.
		return min(max(next.Sub(f.clock.Now()), minWait), gatherFollowed)
	case fromReader, f.readers.HasFollowers():
		return gatherFollowed
	case f.clock.Now() < startPeriod:
		return gatherAtStart
	default:
		return gatherAlone
	}
}

// hasHeldEntries reports whether the node holds entries that may be falsely removed.
func (f *Fleet) hasHeldEntries() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HasMissing()
}

// nextExpiry returns when the grace period of the next held entry ends; ok is false if there is
// none.
func (f *Fleet) nextExpiry() (at clock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.NextExpiry()
}

// AsOf returns the moment up to which the store was read for the list.
func (f *Fleet) AsOf() moment.Moment {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publishedAsOf
}

// HasList reports whether any list is known.
func (f *Fleet) HasList() bool { return f.current.Load() != nil }

// ListAge returns the time since the store, the reader or a peer last confirmed the list; -1 if
// none has.
func (f *Fleet) ListAge() clock.Millis {
	return clock.AgeOf(clock.Millis(f.confirmedAt.Load()), f.clock.Now())
}
