package usage

import (
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// unresponsiveResendDelay is when a datagram on silent engines is repeated: one in thirty is
// lost on a bad link, and each node finds out by itself a little later.
const unresponsiveResendDelay = 50 * time.Millisecond

// Silent tells peers soon that this node has found an engine silent.
func (s *Exchange) Silent(upstream fleet.Incarnation) { s.unresponsive.add(upstream) }

func (s *Exchange) sendUnresponsive(upstreams []fleet.Incarnation) {
	msg := &wire.Usage{From: s.self}
	for _, u := range upstreams {
		id, born := fleetwire.IncarnationFields(u)
		msg.Silent = append(msg.Silent, &wire.Incarnation{Id: id, Born: born})
	}
	s.send(msg, s.recipients.Load().unresponsive)
	time.Sleep(unresponsiveResendDelay)
	s.send(msg, s.recipients.Load().unresponsive)
}
