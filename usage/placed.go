package usage

import (
	"slices"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// placedTimes is how often an order is told, and placedEvery the pause
	// between: a datagram in thirty is lost on a bad link.
	placedTimes = 3
	placedEvery = 100 * time.Millisecond
	// placedTogether is how many orders a datagram tells at the most. One takes some 25
	// bytes, and so they fit into a packet.
	placedTogether = 50
)

// placed is an order that an engine has taken or, with holds, carried out.
type placed struct {
	upstream fleet.Incarnation
	layers   fleet.Range
	holds    bool
}

// Placed tells peers of an order that an engine has taken or, with holds,
// carried out. It does not wait for that.
func (s *Sharing) Placed(upstream fleet.Incarnation, layers fleet.Range, holds bool) {
	s.placed.add(placed{upstream: upstream, layers: layers, holds: holds})
}

func (s *Sharing) tellPlaced(orders []placed) {
	var msgs []*wire.Usage
	for some := range slices.Chunk(orders, placedTogether) {
		msg := &wire.Usage{From: s.self}
		for _, o := range some {
			id, born := fleetwire.IncarnationFields(o.upstream)
			msg.Placed = append(msg.Placed, &wire.PlacedEngine{
				Id: id, Born: born, From: int32(o.layers.From), To: int32(o.layers.To), Holds: o.holds,
			})
		}
		msgs = append(msgs, msg)
	}
	for range placedTimes {
		for _, msg := range msgs {
			s.send(msg, s.routes.Load().orders)
		}
		time.Sleep(placedEvery)
	}
}
