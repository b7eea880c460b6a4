package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

// others tells each other node something by a datagram, which may be lost.
func (n *node) others(tell func(o *node)) {
	w := n.world
	for _, o := range w.nodes {
		if o != n {
			n.to(o, tell)
		}
	}
}

// to tells another node something by a datagram, which may be lost.
func (n *node) to(o *node, tell func(o *node)) {
	w := n.world
	n.sent++
	if w.random.Float64() < w.scenario.Nodes.LostShare {
		return
	}
	life := o.life
	w.after(1+clock.Millis(w.random.IntN(3)), func() {
		if o.up && o.life == life {
			o.heard++
			tell(o)
		}
	})
}

// one tells another node something by a datagram, which may be lost.
func (n *node) one(name string, tell func(o *node)) {
	w := n.world
	w.result.PermitDatagrams++
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == name })
	if i < 0 || w.random.Float64() < w.scenario.Nodes.LostShare {
		return
	}
	o := w.nodes[i]
	life := o.life
	w.after(1+clock.Millis(w.random.IntN(2)), func() {
		if o.up && o.life == life {
			tell(o)
		}
	})
}

// probe asks who is at an address how it is. Reports bear no name.
func (n *node) probe(cmd dispatch.ProbeCmd) {
	w := n.world
	w.result.Probes++
	w.after(asked, func() {
		msg := dispatch.ProbedMsg{Upstream: cmd.Upstream}
		if e := w.at[cmd.Address]; e != nil && e.up {
			msg.Answered, msg.Report = true, e.report()
		}
		n.tell(msg)
	})
}

// identify asks who is at an address for its name.
func (n *node) identify(cmd dispatch.IdentifyCmd) {
	w := n.world
	w.after(asked, func() {
		msg := dispatch.IdentifiedMsg{Upstream: cmd.Upstream}
		if e := w.at[cmd.Address]; e != nil && e.up {
			msg.Presence = cmd.Upstream.Presence(e.id.ID())
		}
		if msg.Presence == fleet.Replaced {
			n.replaced(cmd.Upstream, cmd.Address)
		}
		n.tell(msg)
	})
}

// comparedWithin bounds the time until peers have asked for a verdict that they lack.
const comparedWithin = 700

// spread tells others what is known of requests that end engines.
func (n *node) spread(news quarantine.News) {
	w := n.world
	if w.variant.NoVerdicts {
		return
	}
	switch news := news.(type) {
	case quarantine.LossNews:
		n.others(func(o *node) { o.tell(dispatch.PeerLossMsg{Work: news.Work, Upstream: news.Upstream}) })
	case quarantine.ClearedNews:
		delete(w.verdicts, news.Work)
		if news.Local {
			n.others(func(o *node) { o.tell(dispatch.PeerAnswerMsg{Work: news.Work}) })
		}
	case quarantine.QuarantinedNews:
		w.keep(dispatch.Quarantined{Work: news.Work, Ended: news.Ended})
		w.after(clock.Millis(w.random.IntN(comparedWithin)), func() {
			n.others(func(o *node) {
				o.tell(dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{{Work: news.Work, Ended: news.Ended}}})
			})
		})
	case quarantine.ConfirmedNews:
		w.keep(dispatch.Quarantined{Work: news.Work})
	}
}

// order gives an order to an engine, as the placer does.
func (n *node) order(cmd placement.OrderCmd) {
	w := n.world
	life := n.life
	w.after(asked, func() {
		if !n.up || n.life != life {
			return
		}
		msg := placement.OrderResultMsg{Upstream: cmd.Upstream, Result: placement.Unanswered}
		e := w.at[cmd.Address]
		switch {
		case e == nil || !e.up:
		case e.busy || e.held != cmd.ExpectedHeld || e.id != cmd.Upstream:
			msg.Result, msg.Held = placement.Busy, e.held
		default:
			w.result.Orders++
			msg.Result, msg.Held = placement.Taken, e.held
			e.place(cmd.Layers)
			n.placed(cmd, false)
			w.watch(n, e, cmd)
		}
		n.plan(msg)
	})
}

// placed tells all nodes of an order that was taken or carried out.
func (n *node) placed(cmd placement.OrderCmd, holds bool) {
	take := func(o *node) {
		o.tell(dispatch.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: holds})
		o.plan(placement.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Completed: holds})
	}
	take(n)
	n.others(take)
}
