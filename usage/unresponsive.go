package usage

import (
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/wire"
)

// unresponsiveResendDelay is the pause after which unresponsive engines are sent a second time:
// a bad link loses one datagram in thirty, and each node detects the engines itself a little
// later.
const unresponsiveResendDelay = 50 * time.Millisecond

// Unresponsive reports to peers, in the next batch, that this node found an engine unresponsive.
func (x *Exchange) Unresponsive(upstream fleet.Incarnation) { x.unresponsive.add(upstream) }

func (x *Exchange) sendUnresponsive(upstreams []fleet.Incarnation) {
	msg := &wire.Usage{From: x.self}
	for _, u := range upstreams {
		id, born := fleetwire.IncarnationFields(u)
		msg.Silent = append(msg.Silent, &wire.Incarnation{Id: id, Born: born})
	}
	x.send(msg, x.recipients.Load().unresponsive)
	time.Sleep(unresponsiveResendDelay)
	x.send(msg, x.recipients.Load().unresponsive)
}
