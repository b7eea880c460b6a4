package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/internal/boundedhttp"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

const (
	// checkInterval is how often a node checks whether to query its peers.
	checkInterval = 150 * time.Millisecond
	// queryAfter is how old the last proof that the configuration is fresh may become before
	// peers are queried. While the store is up, the proof stays younger than 3.6 s, twice the
	// time that a call waits there for news.
	queryAfter clock.Millis = 3700
	// startupWait is how long after its start a node without a configuration or list does not
	// query peers: the store answers within some 10 ms. It counts from the time at which the
	// node may read the store.
	startupWait clock.Millis = 1000
	// maxQueryPause bounds the pause between two rounds of queries if the last round returned
	// nothing newer. The store is then down for all nodes, and all of them query.
	maxQueryPause clock.Millis = 1200
	// peersPerQuery is how many peers are queried in a round.
	peersPerQuery = 3
	// queryTimeout bounds a query. Between data centres an answer takes a few ms; a frozen peer
	// does not answer.
	queryTimeout clock.Millis = 500
	// maxAnswerBytes bounds an answer, as it is sent and after decompression. A configuration has at most
	// 4 MiB, and the entry of an upstream some 200 bytes.
	maxAnswerBytes = 16 << 20
	// listQueryAfter is how old the proof of freshness may become before peers are also queried
	// for the list of upstreams: by then the store counts as lost.
	listQueryAfter clock.Millis = 4200
	// listQueryInterval is how often the list is queried while peers confirm the configuration,
	// which keeps the proof younger than listQueryAfter. Leaving upstreams must be known within
	// 2 s.
	listQueryInterval clock.Millis = 1200
	// registryReadInterval is how often the registry is read. In between, new nodes of the
	// same data centre become known through their messages.
	registryReadInterval = 60 * time.Second
	// memberUpdatePause is the pause between two member updates. If all nodes start together,
	// hundreds of others become known within a second, one by one.
	memberUpdatePause = 150 * time.Millisecond
	// readsPerRenewal is the number of reads of the registry after which a node renews its own
	// registration.
	readsPerRenewal = 2
	// minRegistryRetryPause is the pause after a failed reading of the registry, which doubles up to
	// registryRetryPause. registryRetryPause is also the pause after a failed registration, and
	// othersRegisteredAfter the time after which all nodes of a common start have registered.
	minRegistryRetryPause = 100 * time.Millisecond
	registryRetryPause    = time.Second
	othersRegisteredAfter = 2500 * time.Millisecond
	// registrationSpread is the time over which the nodes of a new system register. The store
	// accepts 200 writes per second to a table, and rejects writes that would wait for more
	// than a second.
	registrationSpread clock.Millis = 1500
)

// Peering queries peers and answers their queries.
type Peering struct {
	clock      *clock.Clock
	log        *zap.Logger
	registry   Registry
	local      LocalState
	receiver   Receiver
	directory  *directory
	rng        *rand.Rand
	httpClient *http.Client
	// timeout bounds the queries.
	timeout clock.TimeoutFunc
	// guard runs the goroutines that are not loops of the node.
	guard contain.GuardFunc
	// firstStart is set if the whole system starts for the first time. registrationDelay is
	// this node's offset in registrationSpread.
	firstStart        bool
	registrationDelay clock.Millis
	// startupWait is how long after its start the node does not query peers if it has no state.
	startupWait clock.Millis
	// memberUpdates passes the known nodes to the receiver.
	memberUpdates coalescer
	// registeredAt is the clock.Millis of the last registration. storeRestored signals a
	// restore of the store from a backup.
	registeredAt  atomic.Int64
	storeRestored chan struct{}
	// registryRequested signals that the registry must be read at once.
	registryRequested chan struct{}
	// membersReported is set once the registry was read and the known nodes were passed to the
	// receiver. A node without peers has to be notified too. Only MaintainRegistration uses the
	// field.
	membersReported bool
	// toldMembers is set once a peer that has read the registry has named the other nodes.
	toldMembers atomic.Bool
	// comparison is the comparison of the first configuration with those of peers.
	comparison comparison
	// nextQueryAt, queryPause and newestProof time the rounds of queries. Only Run uses them.
	nextQueryAt clock.Millis
	queryPause  clock.Millis
	newestProof clock.Millis
	// listQueriedAt is when peers were last queried for the list of upstreams.
	listQueriedAt clock.Millis
}

// Option configures a Peering.
type Option func(*Peering)

// WithGuard sets the function that runs goroutines which are not loops of the node.
func WithGuard(guard contain.GuardFunc) Option { return func(p *Peering) { p.guard = guard } }

// WithTimeouts sets the function that bounds the queries of peers.
func WithTimeouts(timeout clock.TimeoutFunc) Option { return func(p *Peering) { p.timeout = timeout } }

// WithFirstStart sets whether the whole system starts for the first time, so that no node is
// registered yet.
func WithFirstStart(first bool) Option { return func(p *Peering) { p.firstStart = first } }

// New returns the Peering of a node. seeds are addresses at which peers may be.
func New(self *wire.Member, seeds []string, registry Registry, local LocalState, receiver Receiver,
	c *clock.Clock, log *zap.Logger, transport http.RoundTripper, seed uint64, opts ...Option,
) *Peering {
	p := &Peering{
		clock: c, log: log, registry: registry, local: local, receiver: receiver,
		directory: newDirectory(self, seeds), rng: rand.New(rand.NewPCG(seed, seed)), newestProof: clock.Never,
		httpClient: &http.Client{Transport: boundedhttp.NewTransport(transport, maxAnswerBytes)}, timeout: clock.WithTimeout,
		registrationDelay: clock.Millis(seed % uint64(registrationSpread)), guard: contain.Unguarded,
	}
	p.registeredAt.Store(int64(clock.Never))
	p.storeRestored, p.registryRequested = make(chan struct{}, 1), make(chan struct{}, 1)
	p.memberUpdates = coalescer{run: p.reportMembers, pause: memberUpdatePause, guard: func(place string, f func()) { p.guard(place, f) }}
	p.startupWait = startupWait
	for _, opt := range opts {
		opt(p)
	}
	if p.firstStart {
		p.startupWait += MaxStartWait(self.GetStrength())
		p.comparison.done.Store(true)
	}
	return p
}

// MaintainRegistration registers the node and renews its registration if it is needed, and
// reads those of others periodically, until the context ends.
func (p *Peering) MaintainRegistration(ctx context.Context) error {
	registered := p.registerInitially(ctx)
	for reads := 1; ctx.Err() == nil; reads++ {
		p.sleepReading(ctx, registryReadInterval)
		status, err := p.readRegistry(ctx)
		if err != nil {
			p.log.Info("members_not_read", logging.Err(err))
		}
		due := reads%readsPerRenewal == 0
		if err == nil && !status.registered && !status.notNeeded || registered && due {
			registered = true
			if err := p.register(ctx); err != nil {
				p.log.Info("not_renewed", logging.Err(err))
			}
		}
	}
	return ctx.Err()
}

// registerInitially registers the node at its start, unless its earlier registration still
// exists or it is not needed. The registry is read first, for as long as that takes: the earlier
// registration may vouch for an era, which an unread one that is written over would lose. In a
// system that starts for the first time there is none, and nodes take turns. It reports whether
// the node is registered.
func (p *Peering) registerInitially(ctx context.Context) (registered bool) {
	delay, lowCapacity := startDelay(p.directory.self.GetStrength())
	switch {
	case p.firstStart && !lowCapacity:
		clock.Sleep(ctx, (p.registrationDelay % spreadFor(p.directory.self.GetStrength())).Duration())
		p.registerAndRead(ctx)
		return true
	case p.firstStart:
		clock.Sleep(ctx, (delay + p.registrationDelay%lowCapacitySpread).Duration())
	}
	status := p.readUntilSuccess(ctx)
	switch {
	case status.registered:
		return true
	case status.notNeeded:
		return false
	}
	p.registerAndRead(ctx)
	return true
}

// registerAndRead registers the node, waits until nodes that start at the same time have
// registered, and reads the registry.
func (p *Peering) registerAndRead(ctx context.Context) {
	p.retry(ctx, "not_registered", func() error { return p.register(ctx) })
	p.sleepReading(ctx, othersRegisteredAfter)
	p.readUntilSuccess(ctx)
}

// sleepReading sleeps, and reads the registry meanwhile if that is requested.
func (p *Peering) sleepReading(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-p.registryRequested:
			if !p.comparison.doubt.isRead(p.storeEra()) {
				p.readUntilSuccess(ctx)
			}
		}
	}
}

// readUntilSuccess reads the registry until that succeeds or the context ends. A request for a
// reading ends the pause after a failed one.
func (p *Peering) readUntilSuccess(ctx context.Context) registryStatus {
	for pause := minRegistryRetryPause; ctx.Err() == nil; pause = min(2*pause, registryRetryPause) {
		status, err := p.readRegistry(ctx)
		if err == nil {
			return status
		}
		p.log.Info("members_not_read", logging.Err(err))
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.registryRequested:
		}
		timer.Stop()
	}
	return registryStatus{}
}

// retry repeats a call until it succeeds or the context ends, and logs each failure as the
// event.
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

// readRegistry reads all registrations, and removes expired ones. Several nodes may do so at
// the same time; each removes only registrations that have not changed since it read them. It
// returns the status of this node in the registry.
func (p *Peering) readRegistry(ctx context.Context) (registryStatus, error) {
	reading, err := p.registry.Registrations(ctx)
	if err != nil {
		return registryStatus{}, err
	}
	for _, err := range reading.Unreadable {
		p.log.Warn("member_unreadable", logging.Err(err))
	}
	p.readVouched(reading)
	p.comparison.registryRead.Store(true)
	status := statusIn(reading.List, p.directory.self)
	changed, expired := p.directory.applyRegistrations(p.clock.Now(), reading.List)
	if changed || !p.membersReported {
		p.membersReported = true
		p.memberUpdates.trigger()
	}
	if len(expired) == 0 {
		return status, nil
	}
	err = p.registry.Remove(ctx, expired)
	p.log.Info("members_expired", zap.Int("count", len(expired)), zap.String("first", expired[0].Member.GetName()), logging.Err(err))
	return status, nil
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

// AddSender adds the sender of a message to the known nodes.
func (p *Peering) AddSender(m *wire.Member) {
	if p.directory.addSender(p.clock.Now(), m) {
		p.memberUpdates.trigger()
	}
}

// AddReported adds nodes that another node reported.
func (p *Peering) AddReported(members []*wire.Member) { p.addMembers(members...) }

func (p *Peering) addMembers(members ...*wire.Member) {
	if p.directory.addReported(members...) {
		p.memberUpdates.trigger()
	}
}

// reportMembers passes the known nodes to the receiver.
func (p *Peering) reportMembers() {
	others, rank := p.directory.others(), p.directory.rank()
	p.log.Info("members", zap.Int("others", len(others)), zap.Int("rank", rank))
	p.receiver.ReceiveMembers(others, rank, p.knowsMembers())
}

// Run queries peers while the store does not confirm that the configuration is fresh.
func (p *Peering) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.clock.SleepToMultiple(ctx, p.checkPause())
		p.queryIfNeeded(ctx)
		p.reviewComparison()
	}
	return ctx.Err()
}

// checkPause returns the pause before the next check whether to query peers.
func (p *Peering) checkPause() time.Duration {
	if p.comparison.done.Load() {
		return checkInterval
	}
	return comparisonInterval
}

func (p *Peering) queryIfNeeded(ctx context.Context) {
	active := p.local.Config()
	now := p.clock.Now()
	age := now.Sub(active.Confirmed)
	needs := p.needsPeers(now, active.Edition, age)
	if now < p.nextQueryAt || !needs && !p.needsComparison(active.Edition) {
		return
	}
	peers := p.directory.others()
	if !needs && len(peers) == 0 {
		return
	}
	ask, round := peersPerQuery, noRound
	if p.needsComparison(active.Edition) {
		ask = comparisonPeers
		round = p.comparison.beginRound(min(ask, len(peers)), len(peers))
		p.nextQueryAt = now.Add(comparisonPause)
	} else {
		p.backOff(now, active.Confirmed)
	}
	wantFleet := needs && p.needsList(now, age)
	p.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(ask, len(peers))] {
		go p.guard("peer_query", func() {
			if p.query(ctx, peer, active.Edition, wantFleet) == answeredStarted && p.comparison.recordStarted(round) && !p.inDoubt(p.clock.Now()) {
				p.endComparison("all_started")
			}
		})
	}
}

// needsList reports whether to query peers for the list of upstreams too. A list from a peer
// may be incomplete, and becomes outdated.
func (p *Peering) needsList(now, age clock.Millis) bool {
	if p.local.HasList() && age < listQueryAfter && now < p.listQueriedAt.Add(listQueryInterval) {
		return false
	}
	p.listQueriedAt = now
	return true
}

// needsPeers reports whether the node has to query peers. A peer may have the configuration
// before it has the list, so either may be missing.
func (p *Peering) needsPeers(now clock.Millis, have catalog.Edition, age clock.Millis) bool {
	if have.IsZero() || !p.local.HasList() {
		return now >= p.startupWait
	}
	return age >= queryAfter
}

// backOff schedules the next round of queries. The pause grows while queries return nothing
// newer.
func (p *Peering) backOff(now, confirmed clock.Millis) {
	p.queryPause = min(max(2*p.queryPause, clock.FromDuration(checkInterval)), maxQueryPause)
	if confirmed > p.newestProof {
		p.newestProof, p.queryPause = confirmed, clock.FromDuration(checkInterval)
	}
	p.nextQueryAt = now.Add(p.queryPause)
}

// QueryAddress queries the peer at an address, which has a newer configuration.
func (p *Peering) QueryAddress(ctx context.Context, address string) {
	p.query(ctx, &wire.Member{Address: address}, p.local.Config().Edition, false)
}

// newClient returns a client that queries a peer.
func (p *Peering) newClient(peer *wire.Member) wireconnect.FreshnessClient {
	return wireconnect.NewFreshnessClient(p.httpClient, "http://"+peer.GetAddress(), connect.WithReadMaxBytes(maxAnswerBytes))
}

// query queries one peer, applies its answer and returns what it was.
func (p *Peering) query(ctx context.Context, peer *wire.Member, have catalog.Edition, wantFleet bool) answerKind {
	client := p.newClient(peer)
	ctx, cancel := p.timeout(ctx, queryTimeout)
	defer cancel()
	sent := p.clock.Now()
	resp, err := client.Ask(ctx, connect.NewRequest(&wire.AskRequest{
		Asker: p.directory.self, Have: momentwire.Edition(have), WantFleet: wantFleet,
	}))
	if err != nil {
		p.log.Debug("peer_silent", zap.String("peer", peer.GetName()), zap.String("address", peer.GetAddress()), logging.Err(err))
		return noAnswer
	}
	p.takeMembers(resp.Msg)
	p.applyAnswer(sent, peer, resp.Msg)
	if resp.Msg.GetAgeMs() < 0 {
		return answeredStarted
	}
	p.endComparison("peer")
	return answeredCompared
}

func (p *Peering) applyAnswer(sent clock.Millis, peer *wire.Member, answer *wire.AskResponse) {
	edition, active := momentwire.EditionOf(answer.GetEdition()), p.local.Config()
	if edition.IsZero() || answer.GetAgeMs() < 0 || active.Edition.Supersedes(edition) {
		return
	}
	confirmed := confirmedAt(sent, answer)
	if confirmed <= active.Confirmed && len(answer.GetConfig()) == 0 && !answer.GetHasFleet() {
		return
	}
	p.log.Info("freshness_from_peer", zap.String("peer", peer.GetName()), zap.Uint64("version", answer.GetEdition().GetVersion()),
		zap.Int64("age_ms", int64(p.clock.Now().Sub(confirmed))), zap.Bool("newer", len(answer.GetConfig()) > 0),
		zap.Int("upstreams", len(answer.GetFleet())))
	p.receiver.ReceiveConfig(edition, answer.GetConfig(), confirmed)
	if answer.GetHasFleet() {
		p.receiver.ReceiveFleet(decodeList(answer.GetFleet()))
	}
}
