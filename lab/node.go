package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
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
	// circleEvery is how often a node of a large data centre looks who the hubs are.
	circleEvery clock.Millis = 150
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
	// roster knows the nodes of its data centre, and circle its place among them.
	roster *reading.Roster
	circle reading.Topology
	// heard and sent count the datagrams that nodes tell each other.
	heard, sent int
}

// start starts the node's process.
func (n *node) start() {
	w := n.world
	n.up, n.started = true, w.now
	n.life++
	life := n.life
	s := w.scenario
	n.model = dispatch.New(dispatch.WithDataCentre(n.centre), dispatch.WithSeed(uint64(n.rank)+1), dispatch.WithStoredQuarantine(),
		dispatch.WithLimits(limit.New(limit.WithSelf(n.name), limit.WithBootID(uint64(n.life)))),
		dispatch.WithPolicy(dispatch.Policy{RetryWindow: s.Nodes.WindowMS, RetryShare: w.retryShare(), RetrySlack: w.retrySlack()}))
	n.planner = placement.New(placement.WithDelay(clock.Millis(n.rank)*planSlot), placement.WithStart(0))
	n.view = fleet.NewView()
	n.sessions = make(map[dispatch.RequestID]*session)
	n.tell(dispatch.CatalogMsg{Catalog: w.catalog, ConfirmedAt: 0})
	n.plan(placement.CatalogMsg{Catalog: w.catalog})
	n.hear(w.list.all())
	n.seen = len(w.list.changes)
	n.tell(dispatch.QuarantinedMsg{Works: w.kept()})
	n.roster = reading.NewRoster(&wire.Member{Name: n.name}, w.now, 0)
	n.roster.SetGroup(w.group(n))
	n.lookAround(true)
	w.every(circleEvery, func() bool {
		if n.up && n.life == life {
			n.lookAround(false)
		}
		return n.up && n.life == life
	})
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
	if ended := n.view.NoteReplacement(id, address); len(ended) > 0 {
		n.pass(ended)
	}
}

// carry does what the model says.
func (n *node) carry(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.ShareUsageCmd:
		n.share(cmd)
	case dispatch.ResponsivenessCmd:
		n.plan(placement.ResponsivenessMsg{Upstream: cmd.Upstream, Unresponsive: cmd.Unresponsive, Confirmed: cmd.Confirmed})
		if cmd.Unresponsive && !cmd.Confirmed && !n.world.variant.NoSilence {
			n.others(func(o *node) {
				if o.centre == n.centre || len(n.world.nodes) < nearAll {
					o.tell(dispatch.PeerUnresponsiveMsg{Upstream: cmd.Upstream})
				}
			})
		}
	case dispatch.ProbeCmd:
		n.probe(cmd)
	case dispatch.IdentifyCmd:
		n.identify(cmd)
	case dispatch.QuarantineCmd:
		n.spread(cmd.News)
	case dispatch.RequestPermitsCmd:
		n.askPermits(cmd.AskCmd)
	case dispatch.GrantPermitsCmd:
		n.givePermits(cmd)
	case dispatch.SuspectCmd, dispatch.BackOffCmd, dispatch.RecheckDeadlineCmd, dispatch.LimitChangedCmd:
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
	case dispatch.RespondCmd:
		return cmd.Request
	case dispatch.RelayFailureCmd:
		return cmd.Request
	case dispatch.AbortResponseCmd:
		return cmd.Request
	case dispatch.MigrateCmd:
		return cmd.Request
	case dispatch.RecheckAttemptCmd:
		return cmd.Request
	}
	return 0
}

func nodeName(centre string, i int) string { return fmt.Sprintf("%s-%d", centre, i+1) }
