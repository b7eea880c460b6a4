package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

const (
	// tickEvery and planEvery are how often the models are told the time.
	tickEvery clock.Millis = 100
	planEvery clock.Millis = 250
	// planSlot sets the nodes' orders apart.
	planSlot clock.Millis = 300
	// asked is how long a question to an engine takes that answers.
	asked clock.Millis = 4
	// planners is how many nodes plan: the first of those that are up. The others would find
	// the same plan, later, and leave its orders to these.
	planners = 8
	// nearAll is up to how many nodes all tell each other what they have in use.
	nearAll = 24
)

// node is a relay node: the real models, and what their shells would do.
type node struct {
	world  *world
	name   string
	centre string
	rank   int
	up     bool
	// life counts its starts: what was on its way to an earlier one is lost.
	life    int
	started clock.Millis

	model    *dispatch.Model
	planner  *placement.Model
	view     *fleet.View
	sessions map[dispatch.RequestID]*session
	next     dispatch.RequestID
	// seen is how many changes of the list it has seen.
	seen int
}

// start starts the node's process.
func (n *node) start() {
	w := n.world
	n.up, n.started = true, w.now
	n.life++
	life := n.life
	s := w.scenario
	n.model = dispatch.New(dispatch.WithDataCentre(n.centre), dispatch.WithSeed(uint64(n.rank)+1), dispatch.WithKeptQuarantine(),
		dispatch.WithPolicy(dispatch.Policy{RetryWindow: s.Nodes.WindowMS, RetryShare: w.retryShare(), RetrySlack: w.retrySlack()}))
	n.planner = placement.New(placement.WithDelay(clock.Millis(n.rank)*planSlot), placement.WithStart(0))
	n.view = fleet.NewView()
	n.sessions = make(map[dispatch.RequestID]*session)
	n.tell(dispatch.CatalogMsg{Catalog: w.catalog, Confirmed: 0})
	n.plan(placement.CatalogMsg{Catalog: w.catalog})
	n.hear(w.list.all())
	n.seen = len(w.list.changes)
	n.tell(dispatch.QuarantinedMsg{Works: w.kept()})
	n.tell(dispatch.PeersMsg{All: len(w.nodes), Near: w.near(n)})
	w.every(tickEvery, func() bool {
		if n.up && n.life == life {
			n.tell(dispatch.TickMsg{})
		}
		return n.up && n.life == life
	})
	w.every(listEvery, func() bool {
		if n.up && n.life == life {
			n.follow()
		}
		return n.up && n.life == life
	})
	w.every(planEvery, func() bool {
		if n.up && n.life == life && (!w.variant.NoHealing || w.now < 0) && w.plans(n) {
			n.plan(placement.TickMsg{})
		}
		return n.up && n.life == life
	})
}

// kill ends the node's process. Its callers' connections break.
func (n *node) kill() {
	n.up = false
	for _, id := range sortedIDs(n.sessions) {
		s := n.sessions[id]
		s.leave()
		s.caller.failed("node lost")
	}
	n.sessions = make(map[dispatch.RequestID]*session)
}

// age is the time since its start, which its models count in.
func (n *node) age() clock.Millis { return n.world.now.Sub(n.started) }

// tell hands the model a message and does what follows.
func (n *node) tell(msg dispatch.Msg) {
	if !n.up {
		return
	}
	for _, cmd := range n.model.Update(n.age(), msg) {
		n.carry(cmd)
	}
}

// plan hands the planner a message and gives its orders.
func (n *node) plan(msg placement.Msg) {
	for _, cmd := range n.planner.Update(n.age(), msg) {
		n.order(cmd)
	}
}

// follow takes in what the list shows by now, with a lag that differs from time to time.
func (n *node) follow() {
	lag := n.world.random.Int64N(int64(max(n.world.scenario.LagMS-listEvery, 1)))
	var changes []fleet.Change
	changes, n.seen = n.world.list.since(n.seen, clock.Millis(lag))
	if len(changes) > 0 {
		n.hear(changes)
	}
}

// hear takes in changes of the list.
func (n *node) hear(changes []fleet.Change) {
	if changes = n.view.Apply(n.age(), changes, false); len(changes) > 0 {
		n.pass(changes)
	}
}

func (n *node) pass(changes []fleet.Change) {
	n.tell(dispatch.FleetMsg{Changes: changes})
	n.plan(placement.FleetMsg{Changes: changes})
}

// replaced takes in that another engine has answered at the address of one.
func (n *node) replaced(id fleet.Incarnation, address string) {
	if ended := n.view.Replaced(id, address); len(ended) > 0 {
		n.pass(ended)
	}
}

// carry does what the model says.
func (n *node) carry(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.ShareCmd:
		n.share(cmd)
	case dispatch.SilentCmd:
		n.plan(placement.SilentMsg{Upstream: cmd.Upstream, Silent: cmd.Silent, Agreed: cmd.Agreed})
		if cmd.Silent && !cmd.Agreed && !n.world.variant.NoSilence {
			n.others(func(o *node) {
				if o.centre == n.centre || len(n.world.nodes) < nearAll {
					o.tell(dispatch.ToldSilentMsg{Upstream: cmd.Upstream})
				}
			})
		}
	case dispatch.ProbeCmd:
		n.probe(cmd)
	case dispatch.IdentifyCmd:
		n.identify(cmd)
	case dispatch.QuarantineCmd:
		n.spread(cmd.News)
	case dispatch.SuspectCmd, dispatch.RestCmd, dispatch.WakeCmd:
	default:
		if s := n.sessions[requestOf(cmd)]; s != nil {
			s.obey(cmd)
		}
	}
}

// requestOf is whom a command concerns.
func requestOf(cmd dispatch.Cmd) dispatch.RequestID {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		return cmd.Request
	case dispatch.FinishCmd:
		return cmd.Request
	case dispatch.RelayCmd:
		return cmd.Request
	case dispatch.CutCmd:
		return cmd.Request
	case dispatch.MoveCmd:
		return cmd.Request
	case dispatch.ReconsiderCmd:
		return cmd.Request
	}
	return 0
}

// others tells each other node something by a datagram, which may be lost.
func (n *node) others(tell func(o *node)) {
	w := n.world
	for _, o := range w.nodes {
		if o == n || w.random.Float64() < w.scenario.Nodes.LostShare {
			continue
		}
		life := o.life
		w.after(1+clock.Millis(w.random.IntN(3)), func() {
			if o.up && o.life == life {
				tell(o)
			}
		})
	}
}

// share tells others what the node has in use. In larger systems each tells its own data
// centre, and one of them all others what it has in all.
func (n *node) share(cmd dispatch.ShareCmd) {
	w := n.world
	if w.variant.NoUsage {
		return
	}
	small := len(w.nodes) < nearAll
	reads := w.reader(n.centre) == n
	n.others(func(o *node) {
		switch {
		case small || o.centre == n.centre:
			o.tell(dispatch.UsageMsg{Node: n.name, Used: cmd.Used})
		case reads:
			o.tell(dispatch.UsageMsg{Node: "all of " + n.centre, Used: cmd.Total, Total: true})
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
		if msg.Presence == fleet.Another {
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
	case quarantine.LostNews:
		n.others(func(o *node) { o.tell(dispatch.ToldLostMsg{Work: news.Work, Upstream: news.Upstream}) })
	case quarantine.ClearedNews:
		delete(w.verdicts, news.Work)
		if news.Own {
			n.others(func(o *node) { o.tell(dispatch.ToldAnsweredMsg{Work: news.Work}) })
		}
	case quarantine.HeldNews:
		w.keep(dispatch.Quarantined{Work: news.Work, Ended: news.Ended})
		w.after(clock.Millis(w.random.IntN(comparedWithin)), func() {
			n.others(func(o *node) {
				o.tell(dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{{Work: news.Work, Ended: news.Ended}}})
			})
		})
	case quarantine.CertainNews:
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
		msg := placement.OrderedMsg{Upstream: cmd.Upstream, Result: placement.Unanswered}
		e := w.at[cmd.Address]
		switch {
		case e == nil || !e.up:
		case e.busy || e.held != cmd.Believed || e.id != cmd.Upstream:
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
		o.tell(dispatch.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Holds: holds})
		o.plan(placement.PlacedMsg{Upstream: cmd.Upstream, Layers: cmd.Layers, Holds: holds})
	}
	take(n)
	n.others(take)
}

func nodeName(centre string, i int) string { return fmt.Sprintf("%s-%d", centre, i+1) }
