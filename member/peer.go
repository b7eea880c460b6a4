package member

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Peer is another node with the newest record known of it.
type Peer struct {
	record   *wire.NodeRecord
	lastSeen clock.Millis
}

// Record returns the newest known record of the node.
func (p *Peer) Record() *wire.NodeRecord { return p.record }

// LastSeen returns when that record was received.
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
