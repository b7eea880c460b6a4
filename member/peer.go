package member

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Peer is another node, as last heard of.
type Peer struct {
	record   *wire.NodeRecord
	lastSeen clock.Millis
}

// Record returns the node's newest word about itself.
func (p *Peer) Record() *wire.NodeRecord { return p.record }

// LastSeen returns when that word came in.
func (p *Peer) LastSeen() clock.Millis { return p.lastSeen }

func (p *Peer) update(now clock.Millis, r *wire.NodeRecord) {
	if r.GetIncarnation() == p.record.GetIncarnation() {
		if r.GetBeat() <= p.record.GetBeat() {
			return
		}
		p.record = r
		p.lastSeen = now
		return
	}
	if r.GetStartedMs() > p.record.GetStartedMs() {
		p.record = r
		p.lastSeen = now
	}
}
