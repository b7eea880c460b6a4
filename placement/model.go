package placement

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// Time limits and bounds of the planner.
const (
	// emptyListStableFor is how long the upstream list must be unchanged before the first orders
	// if no engine holds layers. Servers write their entries within a heartbeat of 1.2 s, and the
	// list shows them up to 0.8 s late, in batches up to 1.5 s apart. A first plan made from a
	// single batch filled engines to the last layer for a whole day (docs/CUSTOMER.md).
	emptyListStableFor clock.Millis = 2500
	// populatedListStableFor is the corresponding time if engines already hold layers. This is the
	// case after a restart of the node, when the list is already complete.
	populatedListStableFor clock.Millis = 1500
	// maxListWait bounds the wait for a list that keeps changing.
	maxListWait clock.Millis = 5000
	// busyRetryDelay is how long an engine that executes another node's order gets no order.
	busyRetryDelay clock.Millis = 3000
	// orderRetryDelay is the delay before an unanswered order is sent again. The engine may still
	// execute the first order; its order count prevents executing both.
	orderRetryDelay clock.Millis = 2500
	// rejectedRetryDelay is how long an engine that could not decode an order gets no order. It
	// would reject the same order again until one of the two programs is updated.
	rejectedRetryDelay clock.Millis = 30_000
	// reserveDuration is how long a new engine is reserved for layers that lose their holder.
	// Servers of a service are replaced about one second apart, and the old server announces that
	// it is leaving after the new one has started.
	reserveDuration clock.Millis = 4000
	// withheldGracePeriod is how long an engine with an unusable entry still counts as a holder of
	// its layers. The engine rewrites its entry within a heartbeat of 1.2 s, and the list shows it
	// up to 0.8 s late. Moving other engines instead would take them out of service for seconds.
	withheldGracePeriod clock.Millis = 3000
	// healDelay is how long layers must have been without a holder before an engine with layers is
	// moved to them. A change of the list that arrives in parts is then seen as a whole.
	healDelay clock.Millis = 300
	// maxIdle is the maximum time between two checks of the engines when nothing is to be ordered
	// and no message arrives. A check costs about 2 µs per engine, four times per second, and five
	// times as much on the smallest VMs.
	maxIdle clock.Millis = 1000
	// maxUnresponsive is the maximum number of engines that may be unresponsive to this node
	// alone. With more of them, this node is assumed to be disconnected, and only engines that are
	// missing in the list or unresponsive to other nodes too count as lost.
	maxUnresponsive = 4
)

// Model plans the placement of every pipeline service. It is pure and not safe for concurrent use.
type Model struct {
	delay clock.Millis
	// standby is set while other nodes plan and this node does not. The nodes in
	// excludedDataCentres plan for their own data centres. A plan for hundreds of engines takes a
	// second, and nodes of other data centres would compute the same one.
	standby             bool
	excludedDataCentres []string
	startedAt           clock.Millis
	listChangedAt       clock.Millis
	// listConfirmedAt is the time of the last confirmation that the list is current.
	listConfirmedAt clock.Millis
	ready           bool
	readyAt         clock.Millis
	catalog         *catalog.Catalog
	upstreams       map[fleet.Incarnation]fleet.Upstream
	// unresponsive holds the listed engines that do not answer this node, and
	// confirmedUnresponsive those that other nodes report as unresponsive too.
	unresponsive          map[fleet.Incarnation]bool
	confirmedUnresponsive map[fleet.Incarnation]bool
	pending               map[fleet.Incarnation]pendingOrder
	// heldReportedUntil is the time until which the reported layers of an engine take precedence
	// over an entry without layers.
	heldReportedUntil map[fleet.Incarnation]clock.Millis
	// firstSeen is the time at which an engine first appeared in the list.
	firstSeen map[fleet.Incarnation]clock.Millis
	// withheldSince is the time since which the entry of an engine has been unusable.
	withheldSince map[fleet.Incarnation]clock.Millis
	// uncoveredSince is the time since which a service has had layers without a holder.
	uncoveredSince map[string]clock.Millis
	// plans holds the last plan of each service.
	plans map[string]cachedPlan
	// contain runs what computes from values that others wrote, and compute computes a plan.
	contain contain.Func
	compute func(Shape, []Engine) []Order
	// dueSince is the time since which orders have been needed and no other node has given any.
	dueSince clock.Millis
	// idleUntil is the time of the next check if no message arrives.
	idleUntil clock.Millis
	// changeCount counts the changes that may affect the result of Coverage.
	changeCount   uint64
	coverageCache coverageCache
}

// pendingOrder is an order that was given. The layers are empty if the engine rejected the order.
type pendingOrder struct {
	layers fleet.LayerRange
	until  clock.Millis
}

// Option configures a Model.
type Option func(*Model)

// WithDelay sets how long the planner waits for other nodes to give the orders. Nodes with
// different delays rarely give the same order twice.
func WithDelay(d clock.Millis) Option { return func(m *Model) { m.delay = d } }

// WithContainment sets the function that contains panics while plans are computed. Without it they end the process.
func WithContainment(f contain.Func) Option { return func(m *Model) { m.contain = f } }

// WithStart sets the start time of the planner.
func WithStart(now clock.Millis) Option {
	return func(m *Model) { m.startedAt, m.listChangedAt = now, now }
}

// New returns a planner without engines and configuration.
func New(opts ...Option) *Model {
	m := &Model{
		contain: contain.Direct, compute: Plan,
		upstreams:             make(map[fleet.Incarnation]fleet.Upstream),
		unresponsive:          make(map[fleet.Incarnation]bool),
		confirmedUnresponsive: make(map[fleet.Incarnation]bool),
		heldReportedUntil:     make(map[fleet.Incarnation]clock.Millis),
		firstSeen:             make(map[fleet.Incarnation]clock.Millis),
		pending:               make(map[fleet.Incarnation]pendingOrder),
		uncoveredSince:        make(map[string]clock.Millis),

		withheldSince: make(map[fleet.Incarnation]clock.Millis),
		plans:         make(map[string]cachedPlan),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update handles a message and returns the orders to give.
func (m *Model) Update(now clock.Millis, msg Msg) []OrderCmd {
	if _, tick := msg.(TickMsg); !tick {
		m.idleUntil = 0
		m.changeCount++
	}
	switch msg := msg.(type) {
	case CatalogMsg:
		m.catalog = msg.Catalog
	case FleetMsg:
		m.applyFleetChanges(now, msg.Changes)
	case RankMsg:
		m.delay, m.standby, m.excludedDataCentres = msg.Delay, msg.Standby, msg.ExcludedDataCentres
	case ResponsivenessMsg:
		m.setUnresponsive(msg)
	case OrderResultMsg:
		m.applyOrderResult(now, msg)
	case PlacedMsg:
		m.applyPlaced(now, msg)
	case TickMsg:
		m.listConfirmedAt = now.Sub(msg.ListAge)
		return m.tick(now)
	}
	return nil
}

func (m *Model) applyFleetChanges(now clock.Millis, changes []fleet.Change) {
	for _, c := range changes {
		before, known := m.upstreams[c.ID]
		if c.Gone {
			delete(m.upstreams, c.ID)
			delete(m.pending, c.ID)
			delete(m.unresponsive, c.ID)
			delete(m.confirmedUnresponsive, c.ID)
			delete(m.heldReportedUntil, c.ID)
			delete(m.firstSeen, c.ID)
			delete(m.withheldSince, c.ID)
			m.listChangedAt = now
			continue
		}
		if !known {
			m.firstSeen[c.ID] = now
		}
		if !known || before.Leaving != c.Upstream.Leaving {
			m.listChangedAt = now
		}
		if !c.Upstream.Withheld {
			delete(m.withheldSince, c.ID)
		} else if !before.Withheld {
			m.withheldSince[c.ID] = now
		}
		if known && c.Upstream.Held.Empty() && now < m.heldReportedUntil[c.ID] {
			// The list still shows the state before the order was executed.
			c.Upstream.Held = before.Held
		}
		if p, ok := m.pending[c.ID]; ok && !p.layers.Empty() && c.Upstream.Held == p.layers {
			delete(m.pending, c.ID)
		}
		m.upstreams[c.ID] = c.Upstream
	}
}

func (m *Model) applyPlaced(now clock.Millis, msg PlacedMsg) {
	u, known := m.upstreams[msg.Upstream]
	switch {
	case !known:
	case msg.Completed:
		u.Held = msg.Layers
		m.upstreams[msg.Upstream] = u
		m.heldReportedUntil[msg.Upstream] = now.Add(fleet.LayersShownWithin)
		delete(m.pending, msg.Upstream)
	case u.Held != msg.Layers:
		if m.pending[msg.Upstream].layers != msg.Layers {
			// Another node is giving the orders of its plan. Planning now would produce the same
			// orders.
			m.dueSince = 0
		}
		m.pending[msg.Upstream] = pendingOrder{layers: msg.Layers, until: now.Add(fleet.OrderShownWithin)}
	}
}

func (m *Model) setUnresponsive(msg ResponsivenessMsg) {
	delete(m.unresponsive, msg.Upstream)
	delete(m.confirmedUnresponsive, msg.Upstream)
	_, known := m.upstreams[msg.Upstream]
	switch {
	case !known || !msg.Unresponsive:
	case msg.Confirmed:
		m.confirmedUnresponsive[msg.Upstream] = true
	default:
		m.unresponsive[msg.Upstream] = true
	}
}

// withheldTooLong reports whether an engine's entry has been unusable for at least
// withheldGracePeriod, so that the engine counts as lost.
func (m *Model) withheldTooLong(now clock.Millis, id fleet.Incarnation) bool {
	since, ok := m.withheldSince[id]
	return ok && now >= since.Add(withheldGracePeriod)
}

// isLost reports whether an engine counts as lost because it is unresponsive.
func (m *Model) isLost(id fleet.Incarnation) bool {
	return m.confirmedUnresponsive[id] || m.unresponsive[id] && len(m.unresponsive) <= maxUnresponsive
}

func (m *Model) applyOrderResult(now clock.Millis, msg OrderResultMsg) {
	p, ok := m.pending[msg.Upstream]
	if !ok {
		return
	}
	switch msg.Result {
	case Taken:
		p.until = now.Add(fleet.OrderShownWithin)
	case Busy:
		p.until = now.Add(busyRetryDelay)
	case Refused, Unanswered:
		p.until = now.Add(orderRetryDelay)
	case Rejected:
		// The engine will not hold these layers, so others may get them.
		p.layers, p.until = fleet.LayerRange{}, now.Add(rejectedRetryDelay)
	}
	m.pending[msg.Upstream] = p
	if u, known := m.upstreams[msg.Upstream]; known && msg.Result == Busy && u.Held != msg.Held && !msg.Held.Empty() {
		u.Held = msg.Held
		m.upstreams[msg.Upstream] = u
		delete(m.pending, msg.Upstream)
	}
}
