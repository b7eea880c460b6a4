package placement

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Figures of the planner, in ms.
const (
	// emptyListStableFor is how long the list must have stood still before the first orders,
	// where no engine holds anything yet: servers write their entries within a
	// heartbeat of 1.2 s, and the list shows them up to 0.8 s late, in batches that
	// came 1.5 s apart. A first plan from one such batch had engines filled to the
	// last layer for the whole day (docs/CUSTOMER.md).
	emptyListStableFor clock.Millis = 2500
	// populatedListStableFor is the same where engines hold layers already, for a node that
	// has started again: the list is there as a whole.
	populatedListStableFor clock.Millis = 1500
	// maxListWait bounds the wait for a list that never stands still.
	maxListWait clock.Millis = 5000
	// orderTimeout is how long an order that was taken may take to show in the
	// list: a load of a quarter of the layers, slowed by others, and the lag.
	orderTimeout clock.Millis = 9000
	// busyRetryDelay is how long an engine that another node's order keeps busy is
	// left alone.
	busyRetryDelay clock.Millis = 3000
	// orderRetryDelay is how soon an order that got no answer is tried again. It may
	// still be carried out; the engine's count of orders guards against both.
	orderRetryDelay clock.Millis = 2500
	// rejectedRetryDelay is for how long an engine that cannot read an order gets none. The same
	// order would say the same to it; only another program at one of the two ends mends that.
	rejectedRetryDelay clock.Millis = 30_000
	// reserveDuration is for how long a new engine is kept for layers that lose their
	// holder: servers of a service are replaced about a second apart, and the old
	// one states that it is leaving after the new one has started.
	reserveDuration clock.Millis = 4000
	// heldReportLifetime is for how long word of what an engine holds counts more than
	// the list: its lag and a heartbeat.
	heldReportLifetime clock.Millis = 3000
	// withheldGracePeriod is for how long an engine whose entry cannot be used counts as holding
	// its layers: it writes its entry again within a heartbeat of 1.2 s, and the list shows
	// that up to 0.8 s late. Moving other engines for it costs seconds of their work.
	withheldGracePeriod clock.Millis = 3000
	// healDelay is how long layers must have been without a holder before an
	// engine that is in use is moved to them, so that one change of the list is
	// seen whole.
	healDelay clock.Millis = 300
	// maxIdle is for how long at the most a planner that has found nothing to do looks
	// at nothing while nothing happens. A look costs some 2 µs an engine, four times
	// a second, and five times that on the smallest VMs.
	maxIdle clock.Millis = 1000
	// maxUnresponsive is how many engines of a service may be silent to this node alone at
	// a time. With more it is the node that is cut off, and only the list and what
	// other nodes have found too counts.
	maxUnresponsive = 4
)

// Model plans for every pipeline service. It is pure and not safe for
// concurrent use.
type Model struct {
	delay clock.Millis
	// standby tells that other nodes plan, and elsewhere are the data centres whose own nodes
	// do so. A plan takes a second for hundreds of engines, and the nodes of another data
	// centre would find the same one.
	standby             bool
	excludedDataCentres []string
	startedAt           clock.Millis
	listChangedAt       clock.Millis
	// listConfirmedAt is when the list was last confirmed.
	listConfirmedAt clock.Millis
	ready           bool
	readyAt         clock.Millis
	catalog         *catalog.Catalog
	upstreams       map[fleet.Incarnation]fleet.Upstream
	// unresponsive are engines that are in the list and do not answer this node alone, and
	// agreed those that do not answer others either.
	unresponsive          map[fleet.Incarnation]bool
	confirmedUnresponsive map[fleet.Incarnation]bool
	pending               map[fleet.Incarnation]pendingOrder
	// heldReportedUntil is until when word of what an engine holds counts more than an
	// entry without layers.
	heldReportedUntil map[fleet.Incarnation]clock.Millis
	// firstSeen is when an engine was first in the list.
	firstSeen map[fleet.Incarnation]clock.Millis
	// withheldSince is since when an engine's entry cannot be used.
	withheldSince map[fleet.Incarnation]clock.Millis
	// uncoveredSince is since when a service has had layers without a holder.
	uncoveredSince map[string]clock.Millis
	// plans are by service.
	plans map[string]cachedPlan
	// dueSince is since when there have been orders to give and nobody else gave any.
	dueSince clock.Millis
	// idleUntil is until when nothing is to be looked at if nothing happens.
	idleUntil clock.Millis
	// changeCount counts what may have changed who holds what, and covered is for Coverage.
	changeCount   uint64
	coverageCache coverageCache
}

// pendingOrder is an order that has been given. Its layers are none where the engine could not read
// it.
type pendingOrder struct {
	layers fleet.LayerRange
	until  clock.Millis
}

// Option sets up a Model.
type Option func(*Model)

// WithDelay sets how long the planner leaves orders to others first. Nodes
// with different delays seldom give the same order twice.
func WithDelay(d clock.Millis) Option { return func(m *Model) { m.delay = d } }

// WithStart sets the time at which the planner begins.
func WithStart(now clock.Millis) Option {
	return func(m *Model) { m.startedAt, m.listChangedAt = now, now }
}

// New returns a planner that knows nothing.
func New(opts ...Option) *Model {
	m := &Model{
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

// Update takes in one message and returns the orders to give.
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
			// The list still shows what was before an order was carried out.
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
		m.heldReportedUntil[msg.Upstream] = now.Add(heldReportLifetime)
		delete(m.pending, msg.Upstream)
	case u.Held != msg.Layers:
		if m.pending[msg.Upstream].layers != msg.Layers {
			// Another node is at it. Its plan goes on, and would be sought here in vain.
			m.dueSince = 0
		}
		m.pending[msg.Upstream] = pendingOrder{layers: msg.Layers, until: now.Add(orderTimeout)}
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

// withheldTooLong tells whether an engine's entry has not been usable for so long that it counts
// as lost.
func (m *Model) withheldTooLong(now clock.Millis, id fleet.Incarnation) bool {
	since, ok := m.withheldSince[id]
	return ok && now >= since.Add(withheldGracePeriod)
}

// isLost tells whether an engine counts as lost for its silence.
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
		p.until = now.Add(orderTimeout)
	case Busy:
		p.until = now.Add(busyRetryDelay)
	case Refused, Unanswered:
		p.until = now.Add(orderRetryDelay)
	case Rejected:
		// It is not on its way to hold them: others are planned for.
		p.layers, p.until = fleet.LayerRange{}, now.Add(rejectedRetryDelay)
	}
	m.pending[msg.Upstream] = p
	if u, known := m.upstreams[msg.Upstream]; known && msg.Result == Busy && u.Held != msg.Held && !msg.Held.Empty() {
		u.Held = msg.Held
		m.upstreams[msg.Upstream] = u
		delete(m.pending, msg.Upstream)
	}
}
