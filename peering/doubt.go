package peering

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/known"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// doubt tells whether the store may show a configuration that is older than one which was acknowledged. It
// may after a return from a backup that no node has lived through: where all have started since, nobody
// remembers more. A registration names the last era in which the store had shown the configuration of its
// node. The configuration is in doubt until the registry has been read in the present era of the store, and
// for a bounded time longer if no registration vouches for that era.
type doubt struct {
	// limit is how long a configuration may be in doubt once the registry has been read; 0 for never.
	limit clock.Millis
	mu    sync.Mutex
	// vouched is the newest era that a registration names; empty if none names one. readIn is the moment
	// of the store of the reading.
	vouched known.Value[moment.Moment]
	readIn  moment.Moment
	// own is the era that this node's registration names.
	own moment.Moment
}

// holds reports whether a configuration that the node has had since a time is in doubt in an era of the
// store.
func (d *doubt) holds(now, since clock.Millis, era moment.Moment) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limit == 0 {
		return false
	}
	withinLimit := func(readAt clock.Millis) bool { return now < max(readAt, since).Add(d.limit) }
	return known.Match(d.vouchedIn(era),
		func() bool { return era.AfterFirstEra() },
		func(readAt clock.Millis) bool { return era.AfterFirstEra() && withinLimit(readAt) },
		func(vouched moment.Moment, readAt clock.Millis) bool {
			return era.InLaterEra(vouched) && withinLimit(readAt)
		})
}

// vouchedIn returns the newest era that a registration names, as it was read in an era of the store: what
// was read before a return of the store says nothing of the registrations after it. The caller holds the
// lock.
func (d *doubt) vouchedIn(era moment.Moment) known.Value[moment.Moment] {
	if era.InLaterEra(d.readIn) {
		return known.Value[moment.Moment]{}
	}
	return d.vouched
}

// isRead reports whether the registry has been read in an era of the store.
func (d *doubt) isRead(era moment.Moment) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vouchedIn(era).IsRead()
}

// setVouched records a reading of the registry: the newest era that a registration names, and the one that
// this node's names. The time of the first reading in an era is kept, so that later ones do not prolong the
// doubt.
func (d *doubt) setVouched(now clock.Millis, readIn, newest, own moment.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	readAt := known.Match(d.vouchedIn(readIn),
		func() clock.Millis { return now },
		func(first clock.Millis) clock.Millis { return first },
		func(_ moment.Moment, first clock.Millis) clock.Millis { return first })
	d.vouched, d.readIn = known.Empty[moment.Moment](readAt), readIn
	if !newest.IsZero() {
		d.vouched = known.Of(newest, readAt)
	}
	d.own = own
}

// setOwn records the era that this node's registration names.
func (d *doubt) setOwn(own moment.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = own
}

// ownEra returns the era that this node's registration names.
func (d *doubt) ownEra() moment.Moment {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

// vouchesFor reports whether this node's registration names the era of a moment, or a later one.
func (d *doubt) vouchesFor(m moment.Moment) bool { return !m.InLaterEra(d.ownEra()) }

// WithRestoreDoubt sets how long a node that has just started neither serves nor vouches for a configuration
// that no registered node has vouched for since the store returned from a backup; 0 for not at all. It ends
// when the operator writes the configuration again.
func WithRestoreDoubt(limit clock.Millis) Option {
	return func(p *Peering) { p.comparison.doubt.limit = limit }
}

// Compared reports whether the configuration that the node had first has been compared, so that it is no
// longer in doubt.
func (p *Peering) Compared() bool { return p.comparison.done.Load() }

// registration returns what the node registers: itself, and the era for which it vouches. Until it vouches
// for one itself it names that of the registration which it replaces: a node that has vouched for an era
// and been started again is no reason to doubt that era.
func (p *Peering) registration() *wire.Member {
	m := proto.CloneOf(p.directory.self)
	vouched := p.comparison.doubt.ownEra()
	if p.comparison.done.Load() {
		vouched = moment.Latest(vouched, p.local.ProvenIn())
	}
	if !vouched.IsZero() {
		m.Vouched = momentwire.Moment(vouched)
	}
	return m
}

// readVouched takes the eras that nodes vouch for out of their registrations. An era that the store has
// not reached is passed over: no node can have seen it.
func (p *Peering) readVouched(reading RegistryReading) {
	var newest, own moment.Moment
	for _, r := range reading.List {
		vouched := momentwire.MomentOf(r.Member.GetVouched())
		if vouched.InLaterEra(reading.AsOf) {
			vouched = moment.Moment{}
		}
		newest = moment.Latest(newest, vouched)
		if r.Member.GetName() == p.directory.self.GetName() {
			own = vouched
		}
		r.Member.Vouched = nil
	}
	p.comparison.doubt.setVouched(p.clock.Now(), reading.AsOf, newest, own)
}

// Vouch makes a node whose configuration has been compared register again if its registration names an
// earlier era than the one in which the store has shown that configuration.
func (p *Peering) Vouch() {
	if p.comparison.done.Load() && !p.comparison.doubt.vouchesFor(p.local.ProvenIn()) {
		p.StoreRestored()
	}
}
