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
	// luck is drawn once for the node's budgets of repeats.
	luck float64
	now  clock.Millis

	catalog   *catalog.Catalog
	confirmed clock.Millis
	// nodes is how many nodes there are, 0 while that is not known.
	nodes nodeCount
	// large tells that there are so many nodes that each has few requests, and seed sets this
	// one's choices apart from others'.
	large bool
	seed  uint64
	// near is how many other nodes' use is to be known here, and summed tells that it is told
	// in one sum.
	near   int
	summed bool

	upstreams map[fleet.Incarnation]*upstream
	watch     watch
	byService map[string][]*upstream
	// atHome are those of the own data centre, by service.
	atHome map[string][]*upstream
	// fastest is the time of a token through all layers of a service's pipeline on its
	// fastest engine, in ms.
	fastest  map[string]float64
	requests map[RequestID]*request
	// early are the requests that wait for the node's start.
	early   []early
	budgets map[string]*budget.Window
	// usage is what other nodes have in use, by their names, and told what this node has told
	// last of its own.
	usage map[string]peerUsage
	told  map[fleet.Incarnation]fleet.EngineUsage
	// lasts is the mean time of streams, in ms.
	lasts float64
	// shortages are by service, and gaps are those among them in which layers had no
	// engine.
	shortages map[string]*shortage
	gaps      map[string]*shortage
	// shared is when this node last told what it has in use.
	shared clock.Millis
	// departing are engines that are leaving, and since when.
	departing map[fleet.Incarnation]clock.Millis
	// quarantine knows the requests that end the upstreams that run them, and reviewed is
	// when what is not certain in it was last looked at.
	quarantine *quarantine.Table
	reviewed   clock.Millis
	// ended are the upstreams whose entries went lately, and unlisted those that are
	// thought to have ended under a request and had no entry when that was last looked at.
	ended    *simplelru.LRU[fleet.Incarnation, bool]
	unlisted map[fleet.Incarnation]bool
	// limits are those that upstreams name, and awaiting are the requests that wait for a
	// permit.
	limits   *limit.Limiter
	awaiting map[fleet.Incarnation][]RequestID
	// places are the requests that await a place, by plain service.
	places map[string]*placeQueue
	// awaitsQuarantine tells that what was in it before is not known yet.
	awaitsQuarantine bool
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
		m.luck = rand.New(rand.NewPCG(seed, luckStream)).Float64()
	}
}

// luckStream sets the draw for budgets of repeats apart from all others.
const luckStream = 1

// WithKeptQuarantine has the model wait at its start for the requests that were in
// quarantine before, as for the configuration and the list.
func WithKeptQuarantine() Option { return func(m *Model) { m.awaitsQuarantine = true } }

// WithLimits sets how limits are kept that hold over all nodes together.
func WithLimits(k *limit.Limiter) Option { return func(m *Model) { m.limits = k } }

// New returns a model that knows no configuration and no upstreams.
func New(opts ...Option) *Model {
	m := &Model{
		upstreams: make(map[fleet.Incarnation]*upstream),
		watch:     make(watch),
		byService: make(map[string][]*upstream),
		atHome:    make(map[string][]*upstream),
		fastest:   make(map[string]float64),
		requests:  make(map[RequestID]*request),
		budgets:   make(map[string]*budget.Window),
		usage:     make(map[string]peerUsage),
		departing: make(map[fleet.Incarnation]clock.Millis),
		shortages: make(map[string]*shortage),
		gaps:      make(map[string]*shortage),
		awaiting:  make(map[fleet.Incarnation][]RequestID),
		places:    make(map[string]*placeQueue),
		limits:    limit.New(),
		confirmed: clock.Never,
		lasts:     firstLasts,
	}
	WithSeed(1)(m)
	for _, opt := range opts {
		opt(m)
	}
	m.quarantine = quarantine.New(m.policy.quarantineLasts())
	m.ended = newEnded()
	return m
}

// Update takes in one message and returns what is to be done.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.now = now
	switch msg := msg.(type) {
	case CatalogMsg:
		m.setCatalog(msg)
		return m.takeEarly()
	case FleetMsg:
		return append(m.setFleet(msg), m.takeEarly()...)
	case PeersMsg:
		m.setPeers(msg)
	case UsageMsg:
		return m.noteUsage(msg)
	case PlacedMsg:
		m.placed(msg)
	case ArriveMsg:
		return m.arrive(msg)
	case AttemptFailedMsg:
		return m.attemptFailed(msg)
	case AttemptDoneMsg:
		return m.attemptDone(msg)
	case StalledMsg:
		return m.stalled(msg)
	case ReportMsg:
		m.noteReport(msg.Upstream, msg.Report)
	case MovedMsg:
		return m.moved(msg)
	case GoneMsg:
		m.forgetEarly(msg.Request)
		return m.gone(msg)
	case WokeMsg:
		return m.woke()
	case TickMsg:
		return m.tick()
	}
	return m.hear(msg)
}

// hear takes in what upstreams and other nodes tell beside the requests.
func (m *Model) hear(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case RestMsg:
		return m.rested(msg)
	case ProbedMsg:
		return m.probed(msg)
	case IdentifiedMsg:
		return m.identified(msg)
	case ToldLostMsg:
		return m.toldLost(msg)
	case ToldAnsweredMsg:
		return m.tellNews(m.quarantine.RequestAnswered(m.now, msg.Work, false))
	case QuarantinedMsg:
		return append(m.learnQuarantined(msg), m.takeEarly()...)
	case ToldSilentMsg:
		return m.toldSilent(msg)
	}
	return m.hearLimit(msg)
}

func (m *Model) setPeers(msg PeersMsg) {
	m.near, m.large = msg.Near, msg.Summed || msg.Here > 0
	m.nodes.set(m.now, msg)
	if m.summed != msg.Summed {
		m.summed = msg.Summed
		m.forgetUsage()
	}
	m.limits.SetMembers(m.now, msg.Members)
	m.setBudgets()
}

// Ready tells whether the node can serve: it knows a configuration that is
// fresh enough, and upstreams.
func (m *Model) Ready(now clock.Millis) bool {
	return m.catalog != nil && len(m.upstreams) > 0 && m.fresh(now)
}

// setCatalog takes the configuration in force. One that is superseded is never taken back,
// whatever a late answer says, and proves nothing of the one in force.
func (m *Model) setCatalog(msg CatalogMsg) {
	if msg.Catalog == nil {
		m.confirmed = max(m.confirmed, msg.Confirmed)
		return
	}
	if m.catalog != nil && !msg.Catalog.Edition().Supersedes(m.catalog.Edition()) {
		return
	}
	m.catalog, m.confirmed = msg.Catalog, msg.Confirmed
	for _, u := range m.upstreams {
		u.measure(m.catalog.Service(u.entry.Service))
	}
	m.index()
}

// fresh tells whether the newest configuration is known well enough for a
// request with a key.
func (m *Model) fresh(now clock.Millis) bool {
	return m.policy.RevokeWithin == 0 || now.Sub(m.confirmed) <= m.policy.RevokeWithin-freshMargin
}

func (m *Model) setFleet(msg FleetMsg) []Cmd {
	var cmds []Cmd
	for _, c := range msg.Changes {
		u, known := m.upstreams[c.ID]
		if known && u.pipeline != nil && (c.Gone || c.Upstream.Leaving) {
			m.noteDeparture(c.ID)
		}
		switch {
		case c.Gone:
			if known {
				m.noteEnd(u)
			}
			m.ended.Add(c.ID, true)
			cmds = append(cmds, m.tellNews(m.quarantine.SetUpstreamState(m.now, c.ID, quarantine.Ended))...)
			delete(m.upstreams, c.ID)
			m.limits.Remove(c.ID)
			if known && c.Ended {
				cmds = append(cmds, m.endedFor(u)...)
			}
		case known:
			u.update(m.now, c.Upstream)
		default:
			u = newUpstream(c.Upstream)
			u.distance, u.watch = distance(m.seed, c.ID), m.watch
			u.others = m.usageOf(c.ID)
			m.upstreams[c.ID] = u
			m.listed(u)
		}
		if u != nil && m.catalog != nil {
			u.measure(m.catalog.Service(u.entry.Service))
		}
	}
	m.index()
	return cmds
}

func (m *Model) index() {
	clear(m.byService)
	clear(m.atHome)
	clear(m.fastest)
	atAddress := make(map[string]*upstream, len(m.upstreams))
	for _, u := range m.upstreams {
		m.noteFastest(u)
		other := atAddress[u.entry.Address]
		u.rivals = other != nil
		if other != nil {
			other.rivals = true
		}
		atAddress[u.entry.Address] = u
		m.byService[u.entry.Service] = append(m.byService[u.entry.Service], u)
	}
	for service, list := range m.byService {
		slices.SortFunc(list, func(a, b *upstream) int { return a.entry.ID.Compare(b.entry.ID) })
		for _, u := range list {
			if u.entry.DataCentre == m.dataCentre {
				m.atHome[service] = append(m.atHome[service], u)
			}
		}
	}
}

// noteFastest takes in an engine for the time of a token on the fastest one.
func (m *Model) noteFastest(u *upstream) {
	if u.pipeline == nil || u.layerTime <= 0 {
		return
	}
	whole := u.layerTime * float64(u.pipeline.Layers)
	if least, known := m.fastest[u.entry.Service]; !known || whole < least {
		m.fastest[u.entry.Service] = whole
	}
}

// tick does what depends on time: it probes suspected upstreams, moves streams
// off engines that are leaving, takes up those that wait, and tells others what
// is in use.
func (m *Model) tick() []Cmd {
	m.setBudgets()
	m.expireUsage()
	return slices.Concat(m.takeEarly(), m.reviewPermits(), m.reviewPlaces(), m.reviewLosses(), m.askNames(), m.probes(), m.depart(), m.resume(), m.share())
}
