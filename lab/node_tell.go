package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

// broadcast sends a datagram to each other node. Datagrams may be lost.
func (n *node) broadcast(deliver func(o *node)) {
	w := n.world
	for _, o := range w.nodes {
		if o != n {
			n.send(o, deliver)
		}
	}
}

// send sends a datagram, which may be lost, and calls deliver on arrival.
func (n *node) send(o *node, deliver func(o *node)) {
	w := n.world
	n.sent++
	if w.eventRand.Float64() < w.scenario.Nodes.DatagramLoss {
		return
	}
	boot := o.boot
	w.after(1+clock.Millis(w.eventRand.IntN(3)), func() {
		if o.running && o.boot == boot {
			o.received++
			deliver(o)
		}
	})
}

// sendPermitMessage sends a datagram about permits, which may be lost, and calls deliver on
// arrival.
func (n *node) sendPermitMessage(name string, deliver func(o *node)) {
	w := n.world
	w.result.PermitDatagrams++
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == name })
	if i < 0 || w.eventRand.Float64() < w.scenario.Nodes.DatagramLoss {
		return
	}
	o := w.nodes[i]
	boot := o.boot
	w.after(1+clock.Millis(w.eventRand.IntN(2)), func() {
		if o.running && o.boot == boot {
			deliver(o)
		}
	})
}

// probe requests the status of the engine at an address. The status does not include the
// engine's ID.
func (n *node) probe(cmd dispatch.ProbeCmd) {
	w := n.world
	w.result.Probes++
	if n.cutOff() {
		w.after(probeTimeout, func() { n.update(dispatch.ProbedMsg{Upstream: cmd.Upstream}) })
		return
	}
	w.after(engineRoundTrip, func() {
		msg := dispatch.ProbedMsg{Upstream: cmd.Upstream}
		if e := w.engineAt[cmd.Address]; e != nil && e.running {
			msg.Answered, msg.Report = true, e.status()
		}
		n.update(msg)
	})
}

// identify requests the ID of the engine at an address.
func (n *node) identify(cmd dispatch.IdentifyCmd) {
	w := n.world
	w.after(engineRoundTrip, func() {
		msg := dispatch.IdentifiedMsg{Upstream: cmd.Upstream}
		if e := w.engineAt[cmd.Address]; e != nil && e.running && !n.cutOff() {
			msg.Presence = cmd.Upstream.Presence(e.id.ID())
		}
		if msg.Presence == fleet.Replaced {
			n.noteReplaced(cmd.Upstream, cmd.Address)
		}
		n.update(msg)
	})
}

// maxQuarantineSyncMS bounds the time, in ms, until peers have fetched a missing quarantine
// entry.
const maxQuarantineSyncMS = 700

// shareQuarantineEvent sends others the news about requests that crash engines.
func (n *node) shareQuarantineEvent(news quarantine.Event) {
	w := n.world
	if w.variant.NoQuarantineSharing {
		return
	}
	switch news := news.(type) {
	case quarantine.LossEvent:
		n.broadcast(func(o *node) {
			o.update(dispatch.PeerLossMsg(news))
		})
	case quarantine.ShareEvent:
		n.broadcast(func(o *node) { o.update(dispatch.PartShareMsg{Part: news.Part, Share: news.Share}) })
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
		if news.Local {
			n.broadcast(func(o *node) {
				o.update(dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{{Work: news.Work}}})
			})
		}
	}
}

// sendOrder sends a placement order to an engine, as the placer does.
func (n *node) sendOrder(cmd placement.OrderCmd) {
	w := n.world
	boot := n.boot
	w.after(engineRoundTrip, func() {
		if !n.running || n.boot != boot {
			return
		}
		msg := placement.OrderResultMsg{Upstream: cmd.Upstream, Result: placement.Unanswered}
		e := w.engineAt[cmd.Address]
		switch {
		case e == nil || !e.running || n.links == linksSilent:
		case e.orderActive || e.held != cmd.ExpectedHeld || e.id != cmd.Upstream:
			msg.Result, msg.Held = placement.Busy, e.held
		default:
			w.result.PlacementOrders++
			msg.Result, msg.Held = placement.Taken, e.held
			e.startOrder(cmd.Layers)
			n.announceOrder(cmd, false)
			w.watchOrder(n, e, cmd)
		}
		if n.cutOff() {
			msg = placement.OrderResultMsg{Upstream: cmd.Upstream, Result: placement.Unanswered}
		}
		n.updatePlanner(msg)
	})
}

// announceOrder reports to all nodes that an order was accepted or completed.
func (n *node) announceOrder(cmd placement.OrderCmd, completed bool) {
	deliver := func(o *node) {
		o.update(dispatch.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: completed})
		o.updatePlanner(placement.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: completed})
	}
	deliver(n)
	n.broadcast(deliver)
}
