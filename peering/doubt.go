package peering

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// doubt tells whether the store may show a configuration that is older than one which was acknowledged. It
// may after a return from a backup that no node has lived through: where all have started since, nobody
// remembers more. A registration names the last era in which the store had shown the configuration of its
// node. If all that name an era name earlier ones, no node has vouched for what the store shows since the
// return.
type doubt struct {
	// limit is how long a configuration may be in doubt; 0 for never.
	limit clock.Millis
	mu    sync.Mutex
	// vouched is the newest era that a registration names, and own the one that this node's names.
	vouched, own moment.Moment
}

// about reports whether the configuration is in doubt in an era of the store.
func (d *doubt) about(era moment.Moment) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit > 0 && !d.vouched.IsZero() && era.InLaterEra(d.vouched)
}

// setVouched records the eras that registrations name.
func (d *doubt) setVouched(newest, own moment.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vouched, d.own = moment.Latest(d.vouched, newest), own
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
func (d *doubt) vouchesFor(m moment.Moment) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !m.InLaterEra(d.own)
}

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

// readVouched takes the eras that nodes vouch for out of their registrations.
func (p *Peering) readVouched(list []Registration) {
	var newest, own moment.Moment
	for _, r := range list {
		vouched := momentwire.MomentOf(r.Member.GetVouched())
		newest = moment.Latest(newest, vouched)
		if r.Member.GetName() == p.directory.self.GetName() {
			own = vouched
		}
		r.Member.Vouched = nil
	}
	p.comparison.doubt.setVouched(newest, own)
}

// Vouch makes a node whose configuration has been compared register again if its registration names an
// earlier era than the one in which the store has shown that configuration.
func (p *Peering) Vouch() {
	if p.comparison.done.Load() && !p.comparison.doubt.vouchesFor(p.local.ProvenIn()) {
		p.StoreRestored()
	}
}
