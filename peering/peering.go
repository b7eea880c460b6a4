package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
	"go.uber.org/zap"
)

const (
	// checkInterval is how often a node looks whether it needs its peers.
	checkInterval = 150 * time.Millisecond
	// queryAfter is how old the proof of freshness may get before peers are
	// asked. With the store well it stays under 3.6 s, twice a wait there.
	queryAfter clock.Millis = 3700
	// startupWait is how long after its start a node without a configuration
	// leaves its peers alone; the store answers within some 10 ms. It counts from when
	// the node may read at all.
	startupWait clock.Millis = 1000
	// maxQueryPause bounds the pause between two rounds of questions that brought
	// nothing newer: the store is then away for everybody, and all nodes ask.
	maxQueryPause clock.Millis = 1200
	// peersPerQuery is how many peers are asked at a time.
	peersPerQuery = 3
	// queryTimeout bounds a question. Between data centres an answer takes a few
	// ms; a frozen peer gives none.
	queryTimeout = 500 * time.Millisecond
	// listQueryAfter is how old the proof of freshness may get before peers are
	// asked for the list of upstreams too: by then the store is lost.
	listQueryAfter clock.Millis = 4200
	// listQueryInterval is how often they are asked for it while they vouch for the
	// configuration, which keeps the proof younger than that. What leaves must be
	// known within 2 s.
	listQueryInterval clock.Millis = 1200
	// registryReadInterval is how often the registry is read again. Between that, nodes
	// learn of new ones of their data centre from what those tell.
	registryReadInterval = 60 * time.Second
	// memberUpdatePause is how long others that become known are gathered: where all nodes start
	// together each hears of hundreds within a second, one by one.
	memberUpdatePause = 150 * time.Millisecond
	// readsPerRenewal is after how many readings a node renews its own registration.
	readsPerRenewal = 2
	// registryRetryPause is the pause after a registration that failed, and
	// othersRegisteredAfter the time after which nodes that start together have all
	// registered.
	registryRetryPause    = time.Second
	othersRegisteredAfter = 2500 * time.Millisecond
	// registrationSpread is the time over which the nodes of a system that starts for
	// the first time register: the store takes 200 writes a second to one table,
	// and refuses what would wait for over a second.
	registrationSpread clock.Millis = 1500
)

// Peering asks and answers peers.
type Peering struct {
	clock      *clock.Clock
	log        *zap.Logger
	registry   Registry
	local      LocalState
	receiver   Receiver
	directory  *directory
	rng        *rand.Rand
	httpClient *http.Client
	// firstStart tells that the whole system starts for the first time, and
	// registrationDelay is this node's part of registrationSpread.
	firstStart        bool
	registrationDelay clock.Millis
	// startupWait is how long after its start the node leaves its peers alone if it knows nothing.
	startupWait clock.Millis
	// memberUpdates has this node told which others there are.
	memberUpdates coalescer
	// registeredAt is when the node was registered last, a clock.Millis, and returned tells
	// that the store has come back from a copy.
	registeredAt  atomic.Int64
	storeRestored chan struct{}
	// membersReported tells that the registry was read, and how many nodes there are was told. One
	// that is alone has to know that too. Only the loop of Register uses it.
	membersReported bool
	// comparedConfig tells that peers were asked for the configuration since the start.
	comparedConfig bool
	// Of the rounds of questions; only the loop of Run uses them.
	nextQueryAt clock.Millis
	queryPause  clock.Millis
	newestProof clock.Millis
	// listQueriedAt is when peers were last asked for the list of upstreams.
	listQueriedAt clock.Millis
}

// Option sets up a Peering.
type Option func(*Peering)

// WithFirstStart sets whether the whole system starts for the first time, so that
// nobody can be registered yet.
func WithFirstStart(first bool) Option { return func(p *Peering) { p.firstStart = first } }

// New returns a node's peering. Seeds are addresses where peers may be.
func New(self *wire.Member, seeds []string, registry Registry, knowledge LocalState, learner Receiver,
	c *clock.Clock, log *zap.Logger, transport http.RoundTripper, seed uint64, opts ...Option,
) *Peering {
	p := &Peering{
		clock: c, log: log, registry: registry, local: knowledge, receiver: learner,
		directory: newDirectory(self, seeds), rng: rand.New(rand.NewPCG(seed, seed)), newestProof: clock.Never,
		httpClient:        &http.Client{Transport: transport, Timeout: queryTimeout},
		registrationDelay: clock.Millis(seed % uint64(registrationSpread)),
	}
	p.registeredAt.Store(int64(clock.Never))
	p.storeRestored = make(chan struct{}, 1)
	p.memberUpdates = coalescer{run: p.reportMembers, pause: memberUpdatePause}
	p.startupWait = startupWait
	for _, opt := range opts {
		opt(p)
	}
	if p.firstStart {
		p.startupWait += MaxStartWait(self.GetStrength())
	}
	return p
}

// MaintainRegistration leaves the node's address at the registry, if it is needed there, and reads those
// of others from time to time.
func (p *Peering) MaintainRegistration(ctx context.Context) error {
	registered := p.registerInitially(ctx)
	for reads := 1; ctx.Err() == nil; reads++ {
		clock.Sleep(ctx, registryReadInterval)
		standing, err := p.readRegistry(ctx)
		if err != nil {
			p.log.Info("members_not_read", logging.Err(err))
		}
		due := reads%readsPerRenewal == 0
		if err == nil && !standing.registered && !standing.notNeeded || registered && due {
			registered = true
			if err := p.register(ctx); err != nil {
				p.log.Info("not_renewed", logging.Err(err))
			}
		}
	}
	return ctx.Err()
}

// registerInitially registers the node unless it is registered since an earlier life, and then so are the
// others, or there is no need. It tells whether it is registered.
func (p *Peering) registerInitially(ctx context.Context) (registered bool) {
	turn, weak := startDelay(p.directory.self.GetStrength())
	switch {
	case p.firstStart && !weak:
		clock.Sleep(ctx, (p.registrationDelay % spreadFor(p.directory.self.GetStrength())).Duration())
		p.registerAndRead(ctx)
		return true
	case p.firstStart:
		clock.Sleep(ctx, (turn + p.registrationDelay%lowCapacitySpread).Duration())
	}
	standing, err := p.readRegistry(ctx)
	if err != nil {
		p.log.Info("members_not_read", logging.Err(err))
	}
	switch {
	case standing.registered:
		return true
	case standing.notNeeded:
		return false
	}
	p.registerAndRead(ctx)
	return true
}

// registerAndRead registers the node and, when those that start with it have
// registered too, reads the registry.
func (p *Peering) registerAndRead(ctx context.Context) {
	p.retry(ctx, "not_registered", func() error { return p.register(ctx) })
	clock.Sleep(ctx, othersRegisteredAfter)
	p.retry(ctx, "members_not_read", func() error {
		_, err := p.readRegistry(ctx)
		return err
	})
}

// retry tries a call until it succeeds or the context ends.
func (p *Peering) retry(ctx context.Context, event string, call func() error) {
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		p.log.Info(event, logging.Err(err))
		clock.Sleep(ctx, registryRetryPause)
	}
}

// readRegistry reads all registrations, and removes those of nodes that have not
// renewed theirs for long. Several nodes may do so at once; each removes only
// what has not changed since. It tells how this node stands in it.
func (p *Peering) readRegistry(ctx context.Context) (registryStatus, error) {
	list, unreadable, err := p.registry.Registrations(ctx)
	if err != nil {
		return registryStatus{}, err
	}
	for _, err := range unreadable {
		p.log.Warn("member_unreadable", logging.Err(err))
	}
	stands := statusIn(list, p.directory.self)
	news, expired := p.directory.applyRegistrations(p.clock.Now(), list)
	if news || !p.membersReported {
		p.membersReported = true
		p.memberUpdates.trigger()
	}
	if len(expired) == 0 {
		return stands, nil
	}
	err = p.registry.Remove(ctx, expired)
	p.log.Info("members_expired", zap.Int("count", len(expired)), zap.String("first", expired[0].Member.GetName()), logging.Err(err))
	return stands, nil
}

// NamedPeers returns how many other nodes are known by name.
func (p *Peering) NamedPeers() int {
	named := 0
	for _, m := range p.directory.others() {
		if m.GetName() != "" {
			named++
		}
	}
	return named
}

// Heard notes a node that has told something.
func (p *Peering) Heard(m *wire.Member) {
	if p.directory.addSender(p.clock.Now(), m) {
		p.memberUpdates.trigger()
	}
}

// AddReported notes nodes of which another one has told.
func (p *Peering) AddReported(members []*wire.Member) { p.addMembers(members...) }

func (p *Peering) addMembers(members ...*wire.Member) {
	if p.directory.addReported(members...) {
		p.memberUpdates.trigger()
	}
}

// reportMembers tells this node which others there are.
func (p *Peering) reportMembers() {
	others, rank := p.directory.others(), p.directory.rank()
	p.log.Info("members", zap.Int("others", len(others)), zap.Int("rank", rank))
	p.receiver.LearnMembers(others, rank)
}

// Run asks peers while the store does not tell how fresh the configuration is.
func (p *Peering) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			p.queryIfNeeded(ctx)
		}
	}
}

func (p *Peering) queryIfNeeded(ctx context.Context) {
	inForce := p.local.Config()
	now := p.clock.Now()
	age := now.Sub(inForce.Confirmed)
	needs := p.needsPeers(now, inForce.Edition, age)
	if now < p.nextQueryAt || !needs && !p.needsComparison(inForce.Edition) {
		return
	}
	peers := p.directory.others()
	if !needs && len(peers) == 0 {
		return
	}
	p.comparedConfig = p.comparedConfig || !inForce.Edition.IsZero() && len(peers) > 0
	p.backOff(now, inForce.Confirmed)
	wantFleet := needs && p.needsList(now, age)
	p.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(peersPerQuery, len(peers))] {
		go p.query(ctx, peer, inForce.Edition, wantFleet)
	}
}

// needsList tells whether peers are to be asked for the list of upstreams too. A
// list may have been a part of the whole, and gets old.
func (p *Peering) needsList(now, age clock.Millis) bool {
	if p.local.Listed() && age < listQueryAfter && now < p.listQueriedAt.Add(listQueryInterval) {
		return false
	}
	p.listQueriedAt = now
	return true
}

// needsPeers tells whether the node needs its peers. A peer may know the
// configuration before it knows the list, so each may be lacking by itself.
func (p *Peering) needsPeers(now clock.Millis, have catalog.Edition, age clock.Millis) bool {
	if have.IsZero() || !p.local.Listed() {
		return now >= p.startupWait
	}
	return age >= queryAfter
}

// needsComparison tells whether the node has started, knows a configuration, and has not compared it with
// a peer's yet: what it has read may be of a copy that the store has just come back from, and
// they remember. Where the whole system starts for the first time nobody does.
func (p *Peering) needsComparison(have catalog.Edition) bool {
	return !p.comparedConfig && !p.firstStart && !have.IsZero()
}

// backOff lengthens the pause while questions bring nothing newer.
func (p *Peering) backOff(now, confirmed clock.Millis) {
	p.queryPause = min(max(2*p.queryPause, clock.FromDuration(checkInterval)), maxQueryPause)
	if confirmed > p.newestProof {
		p.newestProof, p.queryPause = confirmed, clock.FromDuration(checkInterval)
	}
	p.nextQueryAt = now.Add(p.queryPause)
}

// QueryAddress asks the peer at an address, which knows a newer configuration.
func (p *Peering) QueryAddress(ctx context.Context, address string) {
	p.query(ctx, &wire.Member{Address: address}, p.local.Config().Edition, false)
}

// query asks one peer and takes in what it tells.
func (p *Peering) query(ctx context.Context, peer *wire.Member, have catalog.Edition, wantFleet bool) {
	client := wireconnect.NewFreshnessClient(p.httpClient, "http://"+peer.GetAddress())
	sent := p.clock.Now()
	resp, err := client.Ask(ctx, connect.NewRequest(&wire.AskRequest{
		Asker: p.directory.self, Have: momentwire.Edition(have), WantFleet: wantFleet,
	}))
	if err != nil {
		p.log.Debug("peer_silent", zap.String("peer", peer.GetName()), zap.String("address", peer.GetAddress()), logging.Err(err))
		return
	}
	p.addMembers(resp.Msg.GetMembers()...)
	p.applyAnswer(sent, peer, resp.Msg)
}

func (p *Peering) applyAnswer(sent clock.Millis, peer *wire.Member, answer *wire.AskResponse) {
	edition, inForce := momentwire.EditionOf(answer.GetEdition()), p.local.Config()
	if edition.IsZero() || answer.GetAgeMs() < 0 || inForce.Edition.Supersedes(edition) {
		return
	}
	confirmed := confirmedAt(sent, answer)
	if confirmed <= inForce.Confirmed && len(answer.GetConfig()) == 0 && !answer.GetHasFleet() {
		return
	}
	p.log.Info("freshness_from_peer", zap.String("peer", peer.GetName()), zap.Uint64("version", answer.GetEdition().GetVersion()),
		zap.Int64("age_ms", int64(p.clock.Now().Sub(confirmed))), zap.Bool("newer", len(answer.GetConfig()) > 0),
		zap.Int("upstreams", len(answer.GetFleet())))
	p.receiver.LearnConfig(edition, answer.GetConfig(), confirmed)
	if answer.GetHasFleet() {
		p.receiver.LearnFleet(decodeList(answer.GetFleet()))
	}
}
