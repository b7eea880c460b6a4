package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/overload"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// tickInterval and planInterval are how often the dispatcher and the planner receive a
	// tick.
	tickInterval clock.Millis = 100
	planInterval clock.Millis = 250
	// planStagger is the delay between the planners of two nodes, so that their orders don't
	// collide.
	planStagger clock.Millis = 300
	// engineRoundTrip is how long an engine takes to answer a probe or an order.
	engineRoundTrip clock.Millis = 4
	// maxPlanners is how many running nodes plan, starting with the first. The others would
	// find the same plan later, and would find its orders already given.
	maxPlanners = 8
	// fullMeshBelow is the number of nodes below which all exchange their usage with each
	// other.
	fullMeshBelow = 24
	// topologyInterval is how often a node updates which nodes of its data centre are hubs.
	topologyInterval clock.Millis = 150
)

// node is a relay node: the real models, and a simulation of the I/O code around them.
type node struct {
	world      *world
	name       string
	dataCentre string
	rank       int
	running    bool
	// boot counts the starts of the node. Messages on their way to an earlier boot are lost.
	boot      int
	startedAt clock.Millis

	dispatcher    *dispatch.Model
	planner       *placement.Model
	view          *fleet.View
	sessions      map[dispatch.RequestID]*session
	lastRequestID dispatch.RequestID
	// seenChanges is how many changes of the engine list the node has read.
	seenChanges int
	// roster tracks the nodes of the data centre, and topology is the current choice of hubs.
	roster   *reading.Roster
	topology reading.Topology
	// links is how the node's links to the engines are cut.
	links     linkCut
	processor processor
	meter     overload.Meter
	limiter   *overload.Limiter
	// received and sent count the datagrams exchanged with other nodes.
	received, sent int
}

// start starts the node's process.
func (n *node) start() {
	w, s := n.world, n.world.scenario
	n.running, n.startedAt = true, w.now
	n.boot++
	n.processor, n.meter, n.limiter = processor{}, overload.Meter{}, overload.NewLimiter(s.Nodes.Cores)
	boot := n.boot
	n.dispatcher = dispatch.New(dispatch.WithDataCentre(n.dataCentre), dispatch.WithSeed(uint64(n.rank)+1), dispatch.WithStoredQuarantine(),
		dispatch.WithLimits(limit.New(limit.WithSelf(n.name), limit.WithBootID(uint64(n.boot)))),
		dispatch.WithPolicy(dispatch.Policy{MaxForwarded: maxForwarded, RetryWindow: s.Nodes.RetryWindowMS, RetryShare: w.retryShare(), RetrySlack: w.retrySlack(), SpreadCost: dispatch.DefaultSpreadCost, DisableAdmission: w.variant.NoAdmission, DisableFairShares: w.variant.NoFairShares}))
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
		if n.running && n.boot == boot {
			n.updateTopology(false)
		}
		return n.running && n.boot == boot
	})
	w.repeat(tickInterval, func() bool {
		if n.running && n.boot == boot {
			n.update(dispatch.TickMsg{})
		}
		return n.running && n.boot == boot
	})
	w.repeat(overload.Interval, func() bool {
		if s.Nodes.RequestWorkMS == 0 || !n.running || n.boot != boot {
			return false
		}
		n.meter.Record(w.now, n.processor.delay(w.now))
		n.limiter.Adjust(w.now, n.meter.Typical())
		return true
	})
	w.repeat(listPollInterval, func() bool {
		if n.running && n.boot == boot {
			n.pollList()
		}
		return n.running && n.boot == boot
	})
	w.repeat(planInterval, func() bool {
		if n.running && n.boot == boot && (!w.variant.NoReplacement || w.now < 0) && w.isPlanner(n) {
			n.updatePlanner(placement.TickMsg{})
		}
		return n.running && n.boot == boot
	})
}

// kill ends the node's process and breaks the connections of its callers.
func (n *node) kill() {
	n.running = false
	for _, id := range sortedRequestIDs(n.sessions) {
		s := n.sessions[id]
		s.abandon()
		if s.origin != nil {
			s.origin.failForward(s.originAttempt, dispatch.CauseUnknown, dispatch.NodeRefusal{})
			continue
		}
		s.caller.handleFailure("node lost")
	}
	n.sessions = make(map[dispatch.RequestID]*session)
}

// repeatDelay returns how long it takes the node's processor to send a request again.
func (n *node) repeatDelay(attempt int) clock.Millis {
	if attempt == 1 {
		return 0
	}
	return n.processor.run(n.world.now, n.world.scenario.Nodes.RequestWorkMS)
}

// uptime returns the time since the node's start, which is the clock of its models.
func (n *node) uptime() clock.Millis { return n.world.now.Sub(n.startedAt) }

// update passes a message to the dispatcher and executes the resulting commands.
func (n *node) update(msg dispatch.Msg) {
	if !n.running {
		return
	}
	for _, cmd := range n.dispatcher.Update(n.uptime(), msg) {
		n.execute(cmd)
	}
}

// updatePlanner passes a message to the planner and sends the resulting orders.
func (n *node) updatePlanner(msg placement.Msg) {
	for _, cmd := range n.planner.Update(n.uptime(), msg) {
		n.sendOrder(cmd)
	}
}

// pollList reads new changes of the engine list, with a delay that varies from poll to poll.
func (n *node) pollList() {
	lag := n.world.eventRand.Int64N(int64(max(n.world.scenario.ListLagMS-listPollInterval, 1)))
	var changes []fleet.Change
	changes, n.seenChanges = n.world.list.visibleSince(n.seenChanges, clock.Millis(lag))
	if len(changes) > 0 {
		n.applyChanges(changes)
	}
}

// applyChanges applies changes of the engine list to the node's view.
func (n *node) applyChanges(changes []fleet.Change) {
	if changes = n.view.Apply(n.uptime(), changes, false); len(changes) > 0 {
		n.forwardChanges(changes)
	}
}

func (n *node) forwardChanges(changes []fleet.Change) {
	n.update(dispatch.FleetMsg{Changes: changes})
	n.updatePlanner(placement.FleetMsg{Changes: changes})
}

// noteReplaced records that another engine has answered at an engine's address.
func (n *node) noteReplaced(id fleet.Incarnation, address string) {
	if changes := n.view.NoteReplacement(id, address); len(changes) > 0 {
		n.forwardChanges(changes)
	}
}

// execute executes a command of the dispatcher.
func (n *node) execute(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.ShareUsageCmd:
		n.shareUsage(cmd)
	case dispatch.ResponsivenessCmd:
		n.updatePlanner(placement.ResponsivenessMsg{Upstream: cmd.Upstream, Unresponsive: cmd.Unresponsive, Confirmed: cmd.Certain()})
		if cmd.Unresponsive && !cmd.Confirmed && !n.world.variant.NoUnresponsiveReports {
			n.broadcast(func(o *node) {
				if o.dataCentre == n.dataCentre || len(n.world.nodes) < fullMeshBelow {
					o.update(dispatch.PeerUnresponsiveMsg{Upstream: cmd.Upstream})
				}
			})
		}
	case dispatch.AnswersHereCmd:
		n.broadcast(func(o *node) {
			if o.dataCentre == n.dataCentre || len(n.world.nodes) < fullMeshBelow {
				o.update(dispatch.PeerResponsiveMsg(cmd))
			}
		})
	case dispatch.ProbeCmd:
		n.probe(cmd)
	case dispatch.IdentifyCmd:
		n.identify(cmd)
	case dispatch.QuarantineCmd:
		n.shareQuarantineEvent(cmd.Event)
	case dispatch.RequestPermitsCmd:
		n.requestPermits(cmd.PermitRequestCmd)
	case dispatch.GrantPermitsCmd:
		n.grantPermits(cmd)
	case dispatch.RecoverCmd:
		n.world.after(cmd.After, func() { n.update(dispatch.RecoverMsg{}) })
	case dispatch.SuspectCmd, dispatch.BackOffCmd, dispatch.RecheckDeadlineCmd, dispatch.LimitChangedCmd, dispatch.ReachCmd:
	default:
		if s := n.sessions[requestOf(cmd)]; s != nil {
			s.execute(cmd)
		}
	}
}

// requestOf returns the request that a command belongs to; 0 if there is none.
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
	case dispatch.AbandonCmd:
		return cmd.Request
	}
	return 0
}

func nodeName(dataCentre string, i int) string { return fmt.Sprintf("%s-%d", dataCentre, i+1) }
