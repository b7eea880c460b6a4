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

// followedBriefly is for how long a node that has begun to be followed may be one that has
// just had an outage, and holds what has vanished in it.
const followedBriefly = fleet.LapseGrace + 800

// expiryCheck is how often entries that may come back are looked at.
const expiryCheck clock.Millis = 500

// Fleet follows the list of upstreams.
type Fleet struct {
	shared
	source FleetSource
	// mu guards view, passedOn, returnedAt, inDoubt and partial: later runs of upstreams are told by
	// whoever hears of them.
	mu   sync.Mutex
	view *fleet.View
	tell func([]fleet.Change)
	// learnt is the newest list that a peer has told.
	learnt atomic.Pointer[learntList]
	// shown is the list as it stands, for peers.
	shown atomic.Pointer[[]fleet.Upstream]
	// confirmed is when the list was last confirmed: a clock.Millis.
	confirmed atomic.Int64
	// passedOn is the latest moment as of which nodes that follow have been told.
	passedOn moment.Moment
	// returnedAt is when this node has seen the store come back from a copy.
	returnedAt clock.Millis
	// inDoubt tells that the store was lost, or peers were listened to, since the list
	// was last passed on, and partial that it may lack what has lapsed.
	inDoubt bool
	partial bool
}

// NewFleet returns a follower of the list.
func NewFleet(source FleetSource, c *clock.Clock, log *zap.Logger, outage *Outage, tell func([]fleet.Change), opts ...Option) *Fleet {
	f := &Fleet{
		shared: newShared(c, log, outage, opts), source: source, view: fleet.NewView(), tell: tell,
		returnedAt: clock.Never,
	}
	f.confirmed.Store(int64(clock.Never))
	return f
}

// fleetProgress is how far a follower of the list has come.
type fleetProgress struct {
	// asOf is up to when the store was read.
	asOf moment.Moment
	// read says that something has been read, and whole that the whole is to be
	// read next if the store is asked.
	read  bool
	whole bool
	// paused is for how long further changes have gathered since the last answer.
	paused clock.Millis
	// failures counts the store's failed calls in a row.
	failures int
	// doubt says how sure it is that whoever is asked next is there.
	doubt doubt
	// followed is the node that is followed, nil for none, and since when.
	followed      Reader
	followedSince clock.Millis
}

// follows notes whom the next call goes to. A node that has had an outage holds what
// vanished in it, and tells the moment at which it has: who leaves it meanwhile must not
// count on that.
func (p *fleetProgress) follows(reader Reader, now clock.Millis) {
	if reader == p.followed {
		return
	}
	p.whole = p.whole || p.followed != nil && now < p.followedSince.Add(followedBriefly)
	p.followed, p.followedSince = reader, now
}

// Run follows until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	p := fleetProgress{whole: true}
	for ctx.Err() == nil {
		f.expire(f.clock.Now())
		reader, waits := f.reader(p.read)
		if waits {
			f.takeLearnt(f.clock.Now())
			clock.Sleep(ctx, look(p.read))
			continue
		}
		p.follows(reader, f.clock.Now())
		sent := f.clock.Now()
		reading, err := f.call(ctx, reader, p)
		if err != nil {
			f.failed(ctx, &p, sent, err)
			continue
		}
		now := f.clock.Now()
		f.confirmed.Store(int64(now))
		f.back("fleet", reader)
		f.noteEra(now, p, reading.AsOf)
		// What another node tells has lapsed nowhere: it answers for no list that
		// it is in doubt of.
		reading.Whole = reading.Whole || reader == nil && p.whole
		f.take(now, reading, reader == nil && f.outage.Lapsing(now))
		p = fleetProgress{asOf: reading.AsOf, read: true, followed: p.followed, followedSince: p.followedSince}
		if len(reading.Changes) > 0 {
			p.paused = f.gather(reader != nil)
			clock.Sleep(ctx, p.paused.Duration())
		}
	}
	return ctx.Err()
}

// noteEra takes in that a list was read in another era than before. One that is read for the
// first time may be a copy's too: the store may have come back a moment ago.
func (f *Fleet) noteEra(now clock.Millis, p fleetProgress, asOf moment.Moment) {
	if p.read && asOf.SameEra(p.asOf) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Returned(now)
	if p.read {
		f.returnedAt = now
		f.returned("fleet", p.asOf, asOf)
		f.followers.Returned()
	}
}

// failed says how to go on after a call that was sent at a time and failed.
func (f *Fleet) failed(ctx context.Context, p *fleetProgress, sent clock.Millis, err error) {
	p.paused, p.doubt = 0, p.doubt.after(err, p.failures)
	switch {
	case p.doubt == silent:
		f.askAgain(ctx, "fleet", err)
	case errors.Is(err, ErrReadAnew):
		f.log.Info("fleet_history_gone", zap.Stringer("as_of", p.asOf), logging.Err(err))
		p.whole = true
	case errors.Is(err, errReaderFailed):
	default:
		p.whole = true
		alone := !errors.Is(err, ErrSilent) && f.outage.ProvedSince(sent.Sub(listAlone))
		if !alone && !f.lost(ctx, "fleet", sent, err) {
			return
		}
		f.mu.Lock()
		f.view.StoreLost()
		f.inDoubt = true
		f.mu.Unlock()
		f.followers.Suspend()
		p.failures++
		f.sitOut(ctx, p.read, !alone, sitOutFor(p.failures))
	}
}

// listAlone is how long before the call for the list the store may have answered another one
// for the list alone to be refused: a wait for the configuration. The store is not away then.
// A node that took it for away would be left by all that follow it, back a moment later by the
// configuration's word, and be followed and left again for as long as the list is refused.
const listAlone = followedConfigWait + storeAnswer

// sitOut waits until the store is back where it is lost, or another node can be followed. The
// follower of the configuration tries the store; this one only looks whether it has
// succeeded, or tries itself after a while in case only the list cannot be had.
func (f *Fleet) sitOut(ctx context.Context, read, lost bool, longest clock.Millis) {
	until := f.clock.Now().Add(longest)
	for ctx.Err() == nil {
		if reader, _ := f.reader(read); reader != nil {
			return
		}
		f.takeLearnt(f.clock.Now())
		clock.Sleep(ctx, firstRetry.Duration())
		lost = lost || f.outage.Away()
		if f.clock.Now() >= until || lost && !f.outage.Away() {
			return
		}
	}
}

// call reads the whole list, or awaits what changes after a revision, from
// another node if there is one to follow. A list that is in doubt is asked for
// whole there too: what this node misses, that one may never have missed.
func (f *Fleet) call(ctx context.Context, reader Reader, p fleetProgress) (FleetReading, error) {
	if reader == nil && p.whole {
		return f.source.ReadUpstreams(ctx)
	}
	wait := p.doubt.wait(max(f.wait(reader != nil)-p.paused, leastWait))
	if reader == nil {
		return f.source.AwaitUpstreams(ctx, p.asOf, wait)
	}
	after := p.asOf
	if p.whole || f.waiting() {
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
		return reading, f.readerFailed(ctx, "fleet", reader, p.doubt, err)
	}
	return reading, nil
}

// errEarlierEra is why a list is not taken that another node has told: the store has come back
// from a copy since, and that node does not know it yet.
var errEarlierEra = errors.New("follow: the list is of an earlier era")

// wait is how long the next change is awaited; told, from another node.
func (f *Fleet) wait(told bool) clock.Millis {
	switch next, ok := f.nextExpiry(); {
	case ok:
		return min(max(next.Sub(f.clock.Now()), leastWait), expiryCheck)
	case told:
		return readerWait
	case f.readers.Followed():
		return min(f.limits.wait, followedWait)
	default:
		return f.limits.wait
	}
}

// gather returns the pause after a change of the list. Calls to another node
// cost next to nothing, and those of a node that others follow are few.
func (f *Fleet) gather(told bool) clock.Millis {
	next, ok := f.nextExpiry()
	switch {
	case ok:
		// Entries that may come back are looked at in time.
		return min(max(next.Sub(f.clock.Now()), leastWait), gatherFollowed)
	case told, f.readers.Followed():
		return gatherFollowed
	case f.clock.Now() < young:
		return gatherYoung
	default:
		return gatherAlone
	}
}

// waiting tells whether some entry may still come back.
func (f *Fleet) waiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Waiting()
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
	return f.passedOn
}

// Listed tells whether any list is known.
func (f *Fleet) Listed() bool { return f.shown.Load() != nil }

// ListAge returns how long ago the store, the node that is followed in its place or a
// peer last told what the list is; -1 if none ever did.
func (f *Fleet) ListAge() clock.Millis {
	return clock.AgeOf(clock.Millis(f.confirmed.Load()), f.clock.Now())
}
