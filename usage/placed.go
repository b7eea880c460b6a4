package usage

import (
	"slices"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// placementSends is how often an order is told, and placementInterval the pause
	// between: a datagram in thirty is lost on a bad link.
	placementSends    = 3
	placementInterval = 100 * time.Millisecond
	// placementsPerDatagram is how many orders a datagram tells at the most. One takes some 25
	// bytes, and so they fit into a packet.
	placementsPerDatagram = 50
)

// placement is an order that an engine has taken or, with holds, carried out.
type placement struct {
	upstream fleet.Incarnation
	layers   fleet.LayerRange
	loaded   bool
}

// SendPlacement tells peers of an order that an engine has taken or, with holds,
// carried out. It does not wait for that.
func (s *Exchange) SendPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	s.placements.add(placement{upstream: upstream, layers: layers, loaded: holds})
}

func (s *Exchange) sendPlacements(orders []placement) {
	var msgs []*wire.Usage
	for some := range slices.Chunk(orders, placementsPerDatagram) {
		msg := &wire.Usage{From: s.self}
		for _, o := range some {
			id, born := fleetwire.IncarnationFields(o.upstream)
			msg.Placed = append(msg.Placed, &wire.PlacedEngine{
				Id: id, Born: born, From: int32(o.layers.From), To: int32(o.layers.To), Holds: o.loaded,
			})
		}
		msgs = append(msgs, msg)
	}
	for range placementSends {
		for _, msg := range msgs {
			s.send(msg, s.recipients.Load().placements)
		}
		time.Sleep(placementInterval)
	}
}
