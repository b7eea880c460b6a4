package dispatch

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

// Model holds everything that the decisions depend on. It is not safe for
// concurrent use.
type Model struct {
	policy     Policy
	dataCentre string
	random     *rand.Rand
	// retryDraw is drawn once for the node's budgets of repeats.
	retryDraw float64
	now       clock.Millis

	catalog           *catalog.Catalog
	configConfirmedAt clock.Millis
	// nodeCount is how many nodes there are, 0 while that is not known.
	nodeCount nodeCount
	// manyNodes tells that there are so many nodes that each has few requests, and seed sets this
	// one's choices apart from others'.
	manyNodes bool
	seed      uint64
	// usagePeers is how many other nodes' use is to be known here, and summed tells that it is told
	// in one sum.
	usagePeers      int
	usageAggregated bool

	upstreams       map[fleet.Incarnation]*upstream
	probeCandidates probeSet
	byService       map[string][]*upstream
	// localByService are those of the own data centre, by service.
	localByService map[string][]*upstream
	// fastestTokenTime is the time of a token through all layers of a service's pipeline on its
	// fastest engine, in ms.
	fastestTokenTime map[string]float64
	requests         map[RequestID]*request
	// deferred are the requests that wait for the node's start.
	deferred     []deferredArrival
	retryBudgets map[string]*budget.Window
	// peerUsage is what other nodes have in use, by their names, and told what this node has told
	// last of its own.
	peerUsage   map[string]nodeUsage
	sharedUsage map[fleet.Incarnation]fleet.EngineUsage
	// meanStreamTime is the mean time of streams, in ms.
	meanStreamTime float64
	// outages are by service, and gaps are those among them in which layers had no
	// engine.
	outages      map[string]*outage
	coverageGaps map[string]*outage
	// sharedAt is when this node last told what it has in use.
	sharedAt clock.Millis
	// departingSince are engines that are leaving, and since when.
	departingSince map[fleet.Incarnation]clock.Millis
	// quarantine knows the requests that end the upstreams that run them, and reviewed is
	// when what is not certain in it was last looked at.
	quarantine       *quarantine.Table
	lossesReviewedAt clock.Millis
	// crashed are the upstreams whose entries went lately, and unlisted those that are
	// thought to have ended under a request and had no entry when that was last looked at.
	crashed  *simplelru.LRU[fleet.Incarnation, bool]
	unlisted map[fleet.Incarnation]bool
	// limits are those that upstreams name, and awaiting are the requests that wait for a
	// permit.
	limits        *limit.Limiter
	permitWaiters map[fleet.Incarnation][]RequestID
	// slotQueues are the requests that await a place, by plain service.
	slotQueues map[string]*slotQueue
	// awaitsStoredQuarantine tells that what was in it before is not known yet.
	awaitsStoredQuarantine bool
}

// Option sets up a Model.
type Option func(*Model)

// WithPolicy sets what operators may set.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// WithDataCentre sets where the node stands.
func WithDataCentre(name string) Option { return func(m *Model) { m.dataCentre = name } }

// WithSeed sets the seed of what is drawn at random.
func WithSeed(seed uint64) Option {
	return func(m *Model) {
		m.seed = seed
		m.random = rand.New(rand.NewPCG(seed, seed))
		m.retryDraw = rand.New(rand.NewPCG(seed, retryDrawStream)).Float64()
	}
}

// retryDrawStream sets the draw for budgets of repeats apart from all others.
const retryDrawStream = 1

// WithStoredQuarantine has the model wait at its start for the requests that were in
// quarantine before, as for the configuration and the list.
func WithStoredQuarantine() Option { return func(m *Model) { m.awaitsStoredQuarantine = true } }

// WithLimits sets how limits are kept that hold over all nodes together.
func WithLimits(k *limit.Limiter) Option { return func(m *Model) { m.limits = k } }

// New returns a model that knows no configuration and no upstreams.
func New(opts ...Option) *Model {
	m := &Model{
		upstreams:         make(map[fleet.Incarnation]*upstream),
		probeCandidates:   make(probeSet),
		byService:         make(map[string][]*upstream),
		localByService:    make(map[string][]*upstream),
		fastestTokenTime:  make(map[string]float64),
		requests:          make(map[RequestID]*request),
		retryBudgets:      make(map[string]*budget.Window),
		peerUsage:         make(map[string]nodeUsage),
		departingSince:    make(map[fleet.Incarnation]clock.Millis),
		outages:           make(map[string]*outage),
		coverageGaps:      make(map[string]*outage),
		permitWaiters:     make(map[fleet.Incarnation][]RequestID),
		slotQueues:        make(map[string]*slotQueue),
		limits:            limit.New(),
		configConfirmedAt: clock.Never,
		meanStreamTime:    initialStreamTime,
	}
	WithSeed(1)(m)
	for _, opt := range opts {
		opt(m)
	}
	m.quarantine = quarantine.New(m.policy.quarantineDuration())
	m.crashed = newCrashed()
	return m
}

// Update takes in one message and returns what is to be done.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.now = now
	switch msg := msg.(type) {
	case CatalogMsg:
		m.setCatalog(msg)
		return m.processDeferred()
	case FleetMsg:
		return append(m.setFleet(msg), m.processDeferred()...)
	case PeersMsg:
		m.setPeers(msg)
	case UsageMsg:
		return m.recordPeerUsage(msg)
	case PlacedMsg:
		m.placementChanged(msg)
	case ArriveMsg:
		return m.arrive(msg)
	case AttemptFailedMsg:
		return m.attemptFailed(msg)
	case AttemptDoneMsg:
		return m.attemptDone(msg)
	case StalledMsg:
		return m.stalled(msg)
	case ReportMsg:
		m.recordReport(msg.Upstream, msg.Report)
	case MigratedMsg:
		return m.migrated(msg)
	case RequestEndedMsg:
		m.dropDeferred(msg.Request)
		return m.requestEnded(msg)
	case VMResumedMsg:
		return m.vmResumed()
	case TickMsg:
		return m.tick()
	}
	return m.updateUpstreamState(msg)
}

// updateUpstreamState takes in what upstreams and other nodes tell beside the requests.
func (m *Model) updateUpstreamState(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case BackOffMsg:
		return m.backOffRequested(msg)
	case ProbedMsg:
		return m.probeDone(msg)
	case IdentifiedMsg:
		return m.identified(msg)
	case PeerLossMsg:
		return m.recordPeerLoss(msg)
	case PeerAnswerMsg:
		return m.quarantineCmds(m.quarantine.RequestAnswered(m.now, msg.Work, false))
	case QuarantinedMsg:
		return append(m.mergeQuarantined(msg), m.processDeferred()...)
	case PeerUnresponsiveMsg:
		return m.peerFoundUnresponsive(msg)
	}
	return m.updateLimits(msg)
}

func (m *Model) setPeers(msg PeersMsg) {
	m.usagePeers, m.manyNodes = msg.UsagePeers, msg.Aggregated || msg.LocalNodes > 0
	m.nodeCount.setPeers(m.now, msg)
	if m.usageAggregated != msg.Aggregated {
		m.usageAggregated = msg.Aggregated
		m.dropPeerUsage()
	}
	m.limits.SetMembers(m.now, msg.Members)
	m.updateRetryBudgets()
}

// Ready tells whether the node can serve: it knows a configuration that is
// fresh enough, and upstreams.
func (m *Model) Ready(now clock.Millis) bool {
	return m.catalog != nil && len(m.upstreams) > 0 && m.configFresh(now)
}

// setCatalog takes the configuration in force. One that is superseded is never taken back,
// whatever a late answer says, and proves nothing of the one in force.
func (m *Model) setCatalog(msg CatalogMsg) {
	if msg.Catalog == nil {
		m.configConfirmedAt = max(m.configConfirmedAt, msg.ConfirmedAt)
		return
	}
	if m.catalog != nil && !msg.Catalog.Edition().Supersedes(m.catalog.Edition()) {
		return
	}
	m.catalog, m.configConfirmedAt = msg.Catalog, msg.ConfirmedAt
	for _, u := range m.upstreams {
		u.applyService(m.catalog.Service(u.entry.Service))
	}
	m.rebuildIndex()
}

// configFresh tells whether the newest configuration is known well enough for a
// request with a key.
func (m *Model) configFresh(now clock.Millis) bool {
	return m.policy.MaxConfigAge == 0 || now.Sub(m.configConfirmedAt) <= m.policy.MaxConfigAge-freshnessMargin
}

func (m *Model) setFleet(msg FleetMsg) []Cmd {
	var cmds []Cmd
	for _, c := range msg.Changes {
		u, known := m.upstreams[c.ID]
		if known && u.pipeline != nil && (c.Gone || c.Upstream.Leaving) {
			m.markDeparting(c.ID)
		}
		switch {
		case c.Gone:
			if known {
				m.entryRemoved(u)
			}
			m.crashed.Add(c.ID, true)
			cmds = append(cmds, m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, c.ID, quarantine.Ended))...)
			delete(m.upstreams, c.ID)
			m.limits.Remove(c.ID)
			if known && c.Ended {
				cmds = append(cmds, m.crashConfirmed(u)...)
			}
		case known:
			u.update(m.now, c.Upstream)
		default:
			u = newUpstream(c.Upstream)
			u.preference, u.probeCandidates = nodePreference(m.seed, c.ID), m.probeCandidates
			u.peerUse = m.peerUseOf(c.ID)
			m.upstreams[c.ID] = u
			m.upstreamListed(u)
		}
		if u != nil && m.catalog != nil {
			u.applyService(m.catalog.Service(u.entry.Service))
		}
	}
	m.rebuildIndex()
	return cmds
}

func (m *Model) rebuildIndex() {
	clear(m.byService)
	clear(m.localByService)
	clear(m.fastestTokenTime)
	atAddress := make(map[string]*upstream, len(m.upstreams))
	for _, u := range m.upstreams {
		m.recordFastestTokenTime(u)
		other := atAddress[u.entry.Address]
		u.sharesAddress = other != nil
		if other != nil {
			other.sharesAddress = true
		}
		atAddress[u.entry.Address] = u
		m.byService[u.entry.Service] = append(m.byService[u.entry.Service], u)
	}
	for service, list := range m.byService {
		slices.SortFunc(list, func(a, b *upstream) int { return a.entry.ID.Compare(b.entry.ID) })
		for _, u := range list {
			if u.entry.DataCentre == m.dataCentre {
				m.localByService[service] = append(m.localByService[service], u)
			}
		}
	}
}

// recordFastestTokenTime takes in an engine for the time of a token on the fastest one.
func (m *Model) recordFastestTokenTime(u *upstream) {
	if u.pipeline == nil || u.layerTime <= 0 {
		return
	}
	whole := u.layerTime * float64(u.pipeline.Layers)
	if least, known := m.fastestTokenTime[u.entry.Service]; !known || whole < least {
		m.fastestTokenTime[u.entry.Service] = whole
	}
}

// tick does what depends on time: it probes suspected upstreams, moves streams
// off engines that are leaving, takes up those that wait, and tells others what
// is in use.
func (m *Model) tick() []Cmd {
	m.updateRetryBudgets()
	m.expirePeerUsage()
	return slices.Concat(m.processDeferred(), m.reviewPermitWaiters(), m.reviewSlotWaiters(), m.reviewLosses(), m.retryIdentify(), m.sendProbes(), m.migrateDeparting(), m.resumeStreams(), m.shareUsage())
}
