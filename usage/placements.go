package usage

import (
	"slices"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// placementSends is how often a placement order is sent, and placementInterval the pause
	// between: a bad link loses one datagram in thirty.
	placementSends    = 3
	placementInterval = 100 * time.Millisecond
	// placementsPerDatagram bounds the orders in a datagram. One takes some 25 bytes, so a
	// datagram fits into a packet.
	placementsPerDatagram = 50
)

// placement is a placement order that an engine accepted; loaded is set once the engine has
// loaded the layers.
type placement struct {
	upstream fleet.Incarnation
	layers   fleet.LayerRange
	loaded   bool
}

// SendPlacement sends peers a placement order that an engine accepted; loaded is set once the
// engine has loaded the layers. The order is sent in the background.
func (x *Exchange) SendPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, loaded bool) {
	x.placements.add(placement{upstream: upstream, layers: layers, loaded: loaded})
}

func (x *Exchange) sendPlacements(orders []placement) {
	var msgs []*wire.Usage
	for chunk := range slices.Chunk(orders, placementsPerDatagram) {
		msg := &wire.Usage{From: x.self}
		for _, o := range chunk {
			id, born := fleetwire.IncarnationFields(o.upstream)
			msg.Placed = append(msg.Placed, &wire.PlacedEngine{
				Id: id, Born: born, From: int32(o.layers.From), To: int32(o.layers.To), Holds: o.loaded,
			})
		}
		msgs = append(msgs, msg)
	}
	for range placementSends {
		for _, msg := range msgs {
			x.send(msg, x.recipients.Load().placements)
		}
		time.Sleep(placementInterval)
	}
}
