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

// Responsive reports to peers, in the next batch, that an engine answered this node which another
// node had found unresponsive.
func (x *Exchange) Responsive(upstream fleet.Incarnation) { x.responsive.add(upstream) }

func (x *Exchange) sendUnresponsive(upstreams []fleet.Incarnation) {
	x.sendFindings(&wire.Usage{From: x.self, Silent: fleetwire.Incarnations(upstreams)})
}

func (x *Exchange) sendResponsive(upstreams []fleet.Incarnation) {
	x.sendFindings(&wire.Usage{From: x.self, Responsive: fleetwire.Incarnations(upstreams)})
}

// sendFindings sends what this node found out about engines, twice.
func (x *Exchange) sendFindings(msg *wire.Usage) {
	x.send(msg, x.recipients.Load().unresponsive)
	time.Sleep(unresponsiveResendDelay)
	x.send(msg, x.recipients.Load().unresponsive)
}
