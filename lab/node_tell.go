package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

// broadcast tells each other node something by a datagram, which may be lost.
func (n *node) broadcast(tell func(o *node)) {
	w := n.world
	for _, o := range w.nodes {
		if o != n {
			n.send(o, tell)
		}
	}
}

// send tells another node something by a datagram, which may be lost.
func (n *node) send(o *node, tell func(o *node)) {
	w := n.world
	n.sent++
	if w.eventRand.Float64() < w.scenario.Nodes.DatagramLoss {
		return
	}
	life := o.boot
	w.after(1+clock.Millis(w.eventRand.IntN(3)), func() {
		if o.running && o.boot == life {
			o.received++
			tell(o)
		}
	})
}

// sendPermitMessage tells another node something by a datagram, which may be lost.
func (n *node) sendPermitMessage(name string, tell func(o *node)) {
	w := n.world
	w.result.PermitDatagrams++
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == name })
	if i < 0 || w.eventRand.Float64() < w.scenario.Nodes.DatagramLoss {
		return
	}
	o := w.nodes[i]
	life := o.boot
	w.after(1+clock.Millis(w.eventRand.IntN(2)), func() {
		if o.running && o.boot == life {
			tell(o)
		}
	})
}

// probe asks who is at an address how it is. Reports bear no name.
func (n *node) probe(cmd dispatch.ProbeCmd) {
	w := n.world
	w.result.Probes++
	w.after(engineRoundTrip, func() {
		msg := dispatch.ProbedMsg{Upstream: cmd.Upstream}
		if e := w.engineAt[cmd.Address]; e != nil && e.running {
			msg.Answered, msg.Report = true, e.status()
		}
		n.update(msg)
	})
}

// identify asks who is at an address for its name.
func (n *node) identify(cmd dispatch.IdentifyCmd) {
	w := n.world
	w.after(engineRoundTrip, func() {
		msg := dispatch.IdentifiedMsg{Upstream: cmd.Upstream}
		if e := w.engineAt[cmd.Address]; e != nil && e.running {
			msg.Presence = cmd.Upstream.Presence(e.id.ID())
		}
		if msg.Presence == fleet.Replaced {
			n.noteReplaced(cmd.Upstream, cmd.Address)
		}
		n.update(msg)
	})
}

// maxQuarantineSyncMS bounds the time until peers have asked for a verdict that they lack.
const maxQuarantineSyncMS = 700

// shareQuarantineNews tells others what is known of requests that end engines.
func (n *node) shareQuarantineNews(news quarantine.Event) {
	w := n.world
	if w.variant.NoQuarantineSharing {
		return
	}
	switch news := news.(type) {
	case quarantine.LossEvent:
		n.broadcast(func(o *node) { o.update(dispatch.PeerLossMsg{Work: news.Work, Upstream: news.Upstream}) })
	case quarantine.ClearedEvent:
		delete(w.quarantined, news.Work)
		if news.Local {
			n.broadcast(func(o *node) { o.update(dispatch.PeerAnswerMsg{Work: news.Work}) })
		}
	case quarantine.QuarantinedEvent:
		w.storeQuarantine(dispatch.Quarantined{Work: news.Work, Ended: news.Crashed})
		w.after(clock.Millis(w.eventRand.IntN(maxQuarantineSyncMS)), func() {
			n.broadcast(func(o *node) {
				o.update(dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{{Work: news.Work, Ended: news.Crashed}}})
			})
		})
	case quarantine.ConfirmedEvent:
		w.storeQuarantine(dispatch.Quarantined{Work: news.Work})
	}
}

// sendOrder gives an order to an engine, as the placer does.
func (n *node) sendOrder(cmd placement.OrderCmd) {
	w := n.world
	life := n.boot
	w.after(engineRoundTrip, func() {
		if !n.running || n.boot != life {
			return
		}
		msg := placement.OrderResultMsg{Upstream: cmd.Upstream, Result: placement.Unanswered}
		e := w.engineAt[cmd.Address]
		switch {
		case e == nil || !e.running:
		case e.orderActive || e.held != cmd.ExpectedHeld || e.id != cmd.Upstream:
			msg.Result, msg.Held = placement.Busy, e.held
		default:
			w.result.PlacementOrders++
			msg.Result, msg.Held = placement.Taken, e.held
			e.startOrder(cmd.Layers)
			n.announceOrder(cmd, false)
			w.watchOrder(n, e, cmd)
		}
		n.updatePlanner(msg)
	})
}

// announceOrder tells all nodes of an order that was taken or carried out.
func (n *node) announceOrder(cmd placement.OrderCmd, holds bool) {
	take := func(o *node) {
		o.update(dispatch.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: holds})
		o.updatePlanner(placement.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: holds})
	}
	take(n)
	n.broadcast(take)
}
