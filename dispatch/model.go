package dispatch

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/reachability"
	"github.com/hoistjunction/hoistjunction/recovery"
	"github.com/hoistjunction/hoistjunction/work"
)

// Model holds the state behind all decisions of a node. It is not safe for concurrent use.
type Model struct {
	policy     Policy
	dataCentre string
	random     *rand.Rand
	// retryDraw is a random number from 0 up to 1, drawn once and used by all retry budgets of
	// this node.
	retryDraw float64
	now       clock.Millis

	catalog           *catalog.Catalog
	configConfirmedAt clock.Millis
	// nodeCount estimates the number of nodes; its total is 0 while unknown.
	nodeCount nodeCount
	// manyNodes reports whether the data centre has so many nodes that each one serves few
	// requests and receives the usage of the others as a sum.
	manyNodes bool
	// seed makes random choices and the recovery places at engines differ between nodes.
	seed uint64
	// usagePeers is the number of other nodes whose usage this node should know. usageAggregated
	// reports whether it receives that usage as one sum.
	usagePeers      int
	usageAggregated bool

	upstreams       map[fleet.Incarnation]*upstream
	probeCandidates probeSet
	byService       map[string][]*upstream
	// localByService holds the upstreams of this node's data centre by service.
	localByService map[string][]*upstream
	// listedIn holds the number of upstreams of all services by data centre.
	listedIn map[string]int
	// reach is the evidence about this node's links to upstreams. doubtfulCentres and cutCentres hold
	// the data centres to which the links are doubtful or cut, and cutProbedAt when an upstream of each
	// was last probed because of a cut.
	reach           *reachability.Table
	doubtfulCentres map[string]bool
	cutCentres      map[string]bool
	cutProbedAt     map[string]clock.Millis
	// nodes holds the other nodes that may serve requests of this one, and forwardedRequests counts
	// the requests of other nodes that this one serves.
	nodes             *forwarding.Nodes
	forwardedRequests int
	// fastestTokenTime holds, by service, the time of one token through all layers of the
	// pipeline on the fastest engine, in ms.
	fastestTokenTime map[string]float64
	requests         map[RequestID]*request
	// deferred holds the requests that arrived before the node had its initial state, and
	// deferredBytes is the size of their bodies.
	deferred      []deferredArrival
	deferredBytes int
	// retryBudgets holds this node's parts of the retry budgets by service. retryLoans borrows
	// from those of other nodes. mostUrgent holds the most urgent priority of each service whose
	// requests differ in priority.
	retryBudgets map[string]*budget.LendingWindow
	retryLoans   *budget.Exchange
	mostUrgent   map[string]int
	// peerUsage is the usage that other nodes reported, by node name, and oldestPeerUsageAt when
	// the oldest of these reports arrived, as of the last expiry. sharedUsage is the usage that
	// this node shared last.
	peerUsage         map[string]nodeUsage
	oldestPeerUsageAt clock.Millis
	sharedUsage       map[fleet.Incarnation]fleet.EngineUsage
	// meanStreamTime is the moving average of stream durations, in ms, and meanAnswerTokens that of
	// the expected lengths of their answers; zero before the first.
	meanStreamTime   float64
	meanAnswerTokens float64
	// outages holds, by service, the current span of refusals. coverageGaps holds the spans in
	// which some layers had no engine.
	outages      map[string]*outage
	coverageGaps map[string]*outage
	// sharedAt is when this node last shared its usage.
	sharedAt clock.Millis
	// departingSince holds, by engine that is leaving, when its departure became known.
	departingSince map[fleet.Incarnation]clock.Millis
	// quarantine tracks the requests that crash upstreams. lossesReviewedAt is when unconfirmed
	// losses were last reviewed.
	quarantine       *quarantine.Table
	lossesReviewedAt clock.Millis
	// crashed holds the upstreams whose entries were removed recently. unlisted holds the
	// suspected crashes whose upstreams had no entry at the last review.
	crashed  *simplelru.LRU[fleet.Incarnation, bool]
	unlisted map[fleet.Incarnation]bool
	// limits keeps the rate limits that upstreams advertise. permitWaiters holds, by upstream,
	// the requests that wait for a permit.
	limits        *limit.Limiter
	permitWaiters map[fleet.Incarnation][]RequestID
	// slotQueues holds, by plain service, the requests that wait for a free slot.
	slotQueues map[string]*requestQueue
	// capacityQueues holds, by pipeline service, the requests that wait for capacity before their
	// answers begin. capacityWaits summarises them.
	capacityQueues map[string]*capacityQueue
	capacityWaits  CapacityWaits
	// refusedWorks holds the times of recent refusals of requests that may return.
	refusedWorks *simplelru.LRU[work.ID, clock.Millis]
	// stop is the planned stop of this node.
	stop plannedStop
	// overloaded reports whether this node has more to do than its processor bears.
	overloaded  bool
	probeBudget probeBudget
	// lastTicket numbers the waits of requests in queues.
	lastTicket uint64
	// admission holds back less urgent requests under pressure. loadObservedAt is when it was last
	// given the load of the services.
	admission      *admission.Controller
	loadObservedAt clock.Millis
	// recoveries holds the streams that wait to leave engines, considered next at recoveryAt, and
	// backlog the prompts that were moved to each engine.
	recoveries recovery.Queue
	recoveryAt clock.Millis
	backlog    recovery.Backlog
	// fairShares holds back requests of client accounts above their share under contention.
	// overShareCount counts these requests. accountNames holds the names of the accounts that have
	// a key, and sharedAccounts the use by account that this node shared last.
	fairShares     *fairshare.Controller
	overShareCount int
	accountNames   map[string]bool
	sharedAccounts []fairshare.AccountUse
	// configUncompared reports whether the configuration has not been compared with those of other
	// nodes since the start.
	configUncompared bool
	// firstListAt is when the list of upstreams first had an entry, if hasHadList is set.
	firstListAt clock.Millis
	hasHadList  bool
	// awaitsStoredQuarantine reports whether the stored quarantine has not been loaded yet.
	awaitsStoredQuarantine bool
}

// Option configures a Model.
type Option func(*Model)

// WithPolicy sets the operator's settings.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// WithDataCentre sets the data centre of the node.
func WithDataCentre(name string) Option { return func(m *Model) { m.dataCentre = name } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) {
		m.seed = seed
		m.random = rand.New(rand.NewPCG(seed, seed))
		m.retryDraw = rand.New(rand.NewPCG(seed, retryDrawStream)).Float64()
	}
}

// retryDrawStream selects a random stream of its own for retryDraw.
const retryDrawStream = 1

// WithStoredQuarantine makes the model defer requests at its start until the stored quarantine is
// loaded, as it does for the configuration and the list of upstreams.
func WithStoredQuarantine() Option { return func(m *Model) { m.awaitsStoredQuarantine = true } }

// WithLimits sets the keeper of the rate limits that apply to all nodes together.
func WithLimits(k *limit.Limiter) Option { return func(m *Model) { m.limits = k } }

// New returns a model without a configuration and without upstreams.
func New(opts ...Option) *Model {
	m := &Model{
		upstreams:         make(map[fleet.Incarnation]*upstream),
		probeCandidates:   make(probeSet),
		probeBudget:       newProbeBudget(),
		byService:         make(map[string][]*upstream),
		localByService:    make(map[string][]*upstream),
		listedIn:          make(map[string]int),
		reach:             reachability.New(),
		doubtfulCentres:   make(map[string]bool),
		cutCentres:        make(map[string]bool),
		cutProbedAt:       make(map[string]clock.Millis),
		fastestTokenTime:  make(map[string]float64),
		requests:          make(map[RequestID]*request),
		retryBudgets:      make(map[string]*budget.LendingWindow),
		peerUsage:         make(map[string]nodeUsage),
		departingSince:    make(map[fleet.Incarnation]clock.Millis),
		outages:           make(map[string]*outage),
		coverageGaps:      make(map[string]*outage),
		permitWaiters:     make(map[fleet.Incarnation][]RequestID),
		slotQueues:        make(map[string]*requestQueue),
		capacityQueues:    make(map[string]*capacityQueue),
		refusedWorks:      newRefusedWorks(),
		limits:            limit.New(),
		admission:         admission.New(),
		fairShares:        fairshare.New(),
		configConfirmedAt: clock.Never,
		meanStreamTime:    initialStreamTime,
	}
	WithSeed(1)(m)
	for _, opt := range opts {
		opt(m)
	}
	m.nodes = forwarding.New(m.dataCentre, m.random)
	m.quarantine = quarantine.New(m.policy.quarantineDuration())
	m.crashed = newCrashed()
	m.retryLoans = budget.NewExchange(m.limits.Self(), m.limits.BootID(), m.seed)
	return m
}

func (m *Model) setPeers(msg PeersMsg) {
	m.usagePeers, m.manyNodes = msg.UsagePeers, msg.Aggregated || msg.LocalNodes > 0
	m.nodeCount.setPeers(m.now, msg)
	if m.usageAggregated != msg.Aggregated {
		m.usageAggregated = msg.Aggregated
		m.dropPeerUsage()
	}
	if !msg.Incomplete {
		m.limits.SetMembers(m.now, msg.Members)
	}
	m.nodes.Set(msg.ForwardTargets)
	m.retryLoans.SetPeers(msg.UsagePeers, msg.LocalNodes > 0)
	m.updateRetryBudgets()
}

// Ready reports whether the node can serve requests: it has a fresh configuration and a list of
// upstreams.
func (m *Model) Ready(now clock.Millis) bool {
	return m.catalog != nil && len(m.upstreams) > 0 && m.configFresh(now) && !m.awaitsComparison(now)
}

// setCatalog activates a configuration. An edition that does not supersede the active one is
// ignored, and a late answer that carries it does not confirm the active one.
func (m *Model) setCatalog(msg CatalogMsg) []Cmd {
	if msg.Catalog == nil {
		m.configConfirmedAt = max(m.configConfirmedAt, msg.ConfirmedAt)
		return nil
	}
	if m.catalog != nil && !msg.Catalog.Edition().Supersedes(m.catalog.Edition()) {
		return nil
	}
	m.catalog, m.configConfirmedAt = msg.Catalog, msg.ConfirmedAt
	for _, u := range m.upstreams {
		u.applyService(m.catalog.Service(u.entry.Service))
	}
	m.rebuildIndex()
	m.updateAdmission()
	m.prepareRetryBudgets()
	return m.requeueWaiters()
}

// configFresh reports whether the configuration was confirmed recently enough to admit requests
// with a key.
func (m *Model) configFresh(now clock.Millis) bool {
	return m.policy.MaxConfigAge == 0 || now.Sub(m.configConfirmedAt) <= m.policy.MaxConfigAge-freshnessMargin
}

// tick does the periodic work: it observes the load, reviews the requests and streams that wait,
// probes suspected upstreams, moves streams off engines that are leaving, and shares this node's
// usage.
func (m *Model) tick() []Cmd {
	m.updateRetryBudgets()
	m.expirePeerUsage()
	m.observeLoad()
	m.scheduleReachProbes()
	return slices.Concat(m.processDeferred(), m.reviewPermitWaiters(), m.reviewSlotWaiters(), m.reviewLosses(), m.retryIdentify(), m.sendProbes(), m.migrateDeparting(), m.recoverOverdue(), m.resumeStreams(), m.reviewCapacityWaiters(), m.shareUsage())
}
