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
	// tickInterval and planInterval are how often the models are told the time.
	tickInterval clock.Millis = 100
	planInterval clock.Millis = 250
	// planStagger sets the nodes' orders apart.
	planStagger clock.Millis = 300
	// engineRoundTrip is how long a question to an engine takes that answers.
	engineRoundTrip clock.Millis = 4
	// maxPlanners is how many nodes plan: the first of those that are up. The others would find
	// the same plan, later, and leave its orders to these.
	maxPlanners = 8
	// fullMeshBelow is up to how many nodes all tell each other what they have in use.
	fullMeshBelow = 24
	// topologyInterval is how often a node of a large data centre looks who the hubs are.
	topologyInterval clock.Millis = 150
)

// node is a relay node: the real models, and what their shells would do.
type node struct {
	world      *world
	name       string
	dataCentre string
	rank       int
	running    bool
	// boot counts its starts: what was on its way to an earlier one is lost.
	boot      int
	startedAt clock.Millis

	dispatcher    *dispatch.Model
	planner       *placement.Model
	view          *fleet.View
	sessions      map[dispatch.RequestID]*session
	lastRequestID dispatch.RequestID
	// seenChanges is how many changes of the list it has seen.
	seenChanges int
	// roster knows the nodes of its data centre, and circle its place among them.
	roster   *reading.Roster
	topology reading.Topology
	// received and sent count the datagrams that nodes tell each other.
	received, sent int
}

// start starts the node's process.
func (n *node) start() {
	w := n.world
	n.running, n.startedAt = true, w.now
	n.boot++
	life := n.boot
	s := w.scenario
	n.dispatcher = dispatch.New(dispatch.WithDataCentre(n.dataCentre), dispatch.WithSeed(uint64(n.rank)+1), dispatch.WithStoredQuarantine(),
		dispatch.WithLimits(limit.New(limit.WithSelf(n.name), limit.WithBootID(uint64(n.boot)))),
		dispatch.WithPolicy(dispatch.Policy{RetryWindow: s.Nodes.RetryWindowMS, RetryShare: w.retryShare(), RetrySlack: w.retrySlack()}))
	n.planner = placement.New(placement.WithDelay(clock.Millis(n.rank)*planStagger), placement.WithStart(0))
	n.view = fleet.NewView()
	n.sessions = make(map[dispatch.RequestID]*session)
	n.update(dispatch.CatalogMsg{Catalog: w.catalog, ConfirmedAt: 0})
	n.updatePlanner(placement.CatalogMsg{Catalog: w.catalog})
	n.applyChanges(w.list.snapshot())
	n.seenChanges = len(w.list.changes)
	n.update(dispatch.QuarantinedMsg{Works: w.storedQuarantines()})
	n.roster = reading.NewRoster(&wire.Member{Name: n.name}, w.now, 0)
	n.roster.SetGroup(w.dataCentrePeers(n))
	n.updateTopology(true)
	w.repeat(topologyInterval, func() bool {
		if n.running && n.boot == life {
			n.updateTopology(false)
		}
		return n.running && n.boot == life
	})
	w.repeat(tickInterval, func() bool {
		if n.running && n.boot == life {
			n.update(dispatch.TickMsg{})
		}
		return n.running && n.boot == life
	})
	w.repeat(listPollInterval, func() bool {
		if n.running && n.boot == life {
			n.pollList()
		}
		return n.running && n.boot == life
	})
	w.repeat(planInterval, func() bool {
		if n.running && n.boot == life && (!w.variant.NoReplacement || w.now < 0) && w.isPlanner(n) {
			n.updatePlanner(placement.TickMsg{})
		}
		return n.running && n.boot == life
	})
}

// kill ends the node's process. Its callers' connections break.
func (n *node) kill() {
	n.running = false
	for _, id := range sortedRequestIDs(n.sessions) {
		s := n.sessions[id]
		s.abandon()
		s.caller.handleFailure("node lost")
	}
	n.sessions = make(map[dispatch.RequestID]*session)
}

// uptime is the time since its start, which its models count in.
func (n *node) uptime() clock.Millis { return n.world.now.Sub(n.startedAt) }

// update hands the model a message and does what follows.
func (n *node) update(msg dispatch.Msg) {
	if !n.running {
		return
	}
	for _, cmd := range n.dispatcher.Update(n.uptime(), msg) {
		n.execute(cmd)
	}
}

// updatePlanner hands the planner a message and gives its orders.
func (n *node) updatePlanner(msg placement.Msg) {
	for _, cmd := range n.planner.Update(n.uptime(), msg) {
		n.sendOrder(cmd)
	}
}

// pollList takes in what the list shows by now, with a lag that differs from time to time.
func (n *node) pollList() {
	lag := n.world.eventRand.Int64N(int64(max(n.world.scenario.ListLagMS-listPollInterval, 1)))
	var changes []fleet.Change
	changes, n.seenChanges = n.world.list.visibleSince(n.seenChanges, clock.Millis(lag))
	if len(changes) > 0 {
		n.applyChanges(changes)
	}
}

// applyChanges takes in changes of the list.
func (n *node) applyChanges(changes []fleet.Change) {
	if changes = n.view.Apply(n.uptime(), changes, false); len(changes) > 0 {
		n.forwardChanges(changes)
	}
}

func (n *node) forwardChanges(changes []fleet.Change) {
	n.update(dispatch.FleetMsg{Changes: changes})
	n.updatePlanner(placement.FleetMsg{Changes: changes})
}

// noteReplaced takes in that another engine has answered at the address of one.
func (n *node) noteReplaced(id fleet.Incarnation, address string) {
	if ended := n.view.NoteReplacement(id, address); len(ended) > 0 {
		n.forwardChanges(ended)
	}
}

// execute does what the model says.
func (n *node) execute(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.ShareUsageCmd:
		n.shareUsage(cmd)
	case dispatch.ResponsivenessCmd:
		n.updatePlanner(placement.ResponsivenessMsg{Upstream: cmd.Upstream, Unresponsive: cmd.Unresponsive, Confirmed: cmd.Confirmed})
		if cmd.Unresponsive && !cmd.Confirmed && !n.world.variant.NoUnresponsiveReports {
			n.broadcast(func(o *node) {
				if o.dataCentre == n.dataCentre || len(n.world.nodes) < fullMeshBelow {
					o.update(dispatch.PeerUnresponsiveMsg{Upstream: cmd.Upstream})
				}
			})
		}
	case dispatch.ProbeCmd:
		n.probe(cmd)
	case dispatch.IdentifyCmd:
		n.identify(cmd)
	case dispatch.QuarantineCmd:
		n.shareQuarantineNews(cmd.News)
	case dispatch.RequestPermitsCmd:
		n.requestPermits(cmd.PermitRequestCmd)
	case dispatch.GrantPermitsCmd:
		n.grantPermits(cmd)
	case dispatch.SuspectCmd, dispatch.BackOffCmd, dispatch.RecheckDeadlineCmd, dispatch.LimitChangedCmd:
	default:
		if s := n.sessions[requestOf(cmd)]; s != nil {
			s.execute(cmd)
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
