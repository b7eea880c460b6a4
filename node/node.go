package node

import (
	"context"
	"encoding/json"
	"expvar"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/forwardwire"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/internal/httpserver"
	"github.com/hoistjunction/hoistjunction/keeper"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/overload"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/placer"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/relay"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Node is a relay node.
type Node struct {
	settings *Settings
	log      *zap.Logger
	clock    *clock.Clock
	relay    *relay.Relay
	overload *overload.Monitor
	placer   *placer.Placer
	// panics contains panics in the work on values that others wrote.
	panics *contain.Panics
	// orderResults counts the orders to engines by result, and implausible the start times in messages of
	// other nodes that can't be true.
	orderResults    *expvar.Map
	implausible     expvar.Int
	fleetFollower   *follow.Fleet
	catalogFollower *follow.Catalog
	peers           *peering.Peering
	usage           *usage.Exchange
	local           *localState
	// configMu serialises the proofs of the configuration. lastOutdated is the last edition that
	// was rejected as outdated; queryingConfig is set while another node is queried for a newer
	// configuration.
	configMu       sync.Mutex
	lastOutdated   catalog.Edition
	queryingConfig atomic.Bool
	roster         *reading.Roster
	readers        *readers
	readLog        *reading.Log
	members        *members
	unresponsive   *engineReports
	responsive     *engineReports
	// quarantined holds the quarantined requests that are shared with peers; keeper stores them
	// in the store.
	quarantined *quarantineSet
	keeper      *keeper.Keeper
	// wakes calls its handlers when the VM resumes from a suspension.
	wakes   *clock.Suspensions
	outage  *follow.Outage
	store   *platform.Store
	engines *platform.Engines
	// dialUpstream opens connections to upstreams.
	dialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	ctx          context.Context
	cancel       context.CancelFunc

	callerListener net.Listener
	// limited takes the connections of callerListener that the node bears.
	limited           *overload.Listener
	readinessListener net.Listener
	metricsListener   net.Listener
	peerListener      net.Listener
	// callers serves clients, and peerServer other nodes.
	callers, peerServer *httpserver.Server
	drained             chan struct{}
	// failed is closed when the node has ended its requests after a panic.
	failed   chan struct{}
	failOnce sync.Once
}

// Option configures a Node.
type Option func(*Node)

// WithClock sets the node's clock; it is meant for tests.
func WithClock(c *clock.Clock) Option { return func(n *Node) { n.clock = c } }

// WithUpstreamDialer sets the function that opens connections to upstreams; it is meant for tests.
func WithUpstreamDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(n *Node) { n.dialUpstream = dial }
}

// New binds the ports of a node and builds the node. Run starts it.
func New(s *Settings, log *logging.Log, opts ...Option) (*Node, error) {
	n := &Node{settings: s, log: log.Logger, clock: clock.New(), drained: make(chan struct{}), failed: make(chan struct{}), members: newMembers(), unresponsive: newEngineReports(), responsive: newEngineReports(), orderResults: new(expvar.Map)}
	for _, opt := range opts {
		opt(n)
	}
	n.panics = contain.New(n.log)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.overload = overload.NewMonitor(n.clock, n.log, s.CoreShare*float64(s.Cores))
	dial := platform.NewDialFunc(n.overload.WithTimeout)
	if n.dialUpstream == nil {
		n.dialUpstream = dial
	}
	n.store = platform.NewStore(s.PlatformAddress, n.log, platform.WithStoreTimeouts(n.overload.WithTimeout), platform.WithStoreDialer(dial))
	n.quarantined = newQuarantineSet(n.clock, s.quarantineDuration())
	n.keeper = keeper.New(n.store, n.clock, n.log, s.FirstStart, n.applyQuarantined)
	n.engines = platform.NewEngines(platform.WithEngineDialer(n.dialUpstream), platform.WithEngineGuard(n.guard), platform.WithExtendedLimits(n.overload.Extend), platform.WithEngineTimeouts(n.overload.WithTimeout), platform.WithIncarnationHandler(func(upstream fleet.Incarnation) { n.fleetFollower.Supersede(upstream) }),
		platform.WithStatusHandler(func(upstream fleet.Incarnation, status relay.UpstreamStatus) {
			n.relay.HandleUpstreamStatus(upstream, status)
		}))
	modelOptions := []dispatch.Option{
		dispatch.WithDataCentre(s.DataCentre),
		dispatch.WithSeed(hash(s.Name)),
		dispatch.WithPolicy(dispatch.Policy{
			MaxConfigAge: s.keysMaxAge(), RetryWindow: clock.Millis(s.RetryWindowSeconds * msPerSecond),
			RetryShare: s.RetryShare, RetrySlack: s.RetrySlack,
			QuarantineDuration: s.quarantineDuration(), SpreadCost: s.SpreadCost,
			MaxWaiting: s.WaitingRequests, MaxWaitingBytes: s.waitingBytes(), MaxForwarded: s.ForwardedRequests, DisableAdmission: !s.Admission, AccountPriorities: s.AccountPriorities, DisableFairShares: !s.FairShares,
		}),
		dispatch.WithStoredQuarantine(),
		dispatch.WithLimits(limit.New(limit.WithSelf(s.Name), limit.WithUnknownMembers(), limit.WithBootID(uint64(time.Now().UnixNano())))),
	}
	if !s.FirstStart {
		modelOptions = append(modelOptions, dispatch.WithConfigComparison())
	}
	model := dispatch.New(modelOptions...)
	self := &wire.Member{Name: s.Name, DataCentre: s.DataCentre, Address: n.peerListener.Addr().String(), Strength: s.capacity()}
	sharing, err := usage.New(n.ctx, self, s.UsageListen, n.log, n.isFollowable, usageListener{n}, usage.WithQuarantine(n.quarantined.digest), usage.WithClock(n.clock), usage.WithContainment(n.panics.Run))
	if err != nil {
		return nil, err
	}
	n.usage = sharing
	self.UsageAddress = sharing.Address()
	listAge := func() clock.Millis { return n.fleetFollower.ListAge() }
	n.relay = relay.New(n.ctx, platform.Headers{}, model, n.clock, n.log,
		relay.WithEngines(n.engines), relay.WithDialer(n.dialUpstream), relay.WithForwarding(s.Name, dial), relay.WithMaxConfigAge(s.keysMaxAge()),
		relay.WithCounters("store_calls", n.store.Calls()), relay.WithCounters("store", expvar.Func(n.storeView)), relay.WithCounters("entries_refused", n.store.EntriesRefused()), relay.WithCounters("rows_unreadable", n.store.UnreadableRows()), relay.WithCounters("entries_unfit", expvar.Func(func() any { return json.RawMessage(n.fleetFollower.Misfits().String()) })),
		relay.WithCounters("panics_contained", n.panics.Counts()), relay.WithCounters("quarantine_refused", n.keeper.Refused()), relay.WithCounters("orders", n.orderResults),
		relay.WithCounters("quarantined", expvar.Func(n.quarantined.count)), relay.WithCounters("quarantined_parts", expvar.Func(n.quarantined.parts)),
		relay.WithCounters("overload", expvar.Func(func() any { return n.overload.Summary() })), relay.WithOwnDelay(n.overload.Delay), relay.WithOverload(n.overload.Overloaded), relay.WithContainment(n.panics.Run), relay.WithGuard(n.guard),
		relay.WithCounters("start_times_not_credible", &n.implausible), relay.WithCounters("peers", expvar.Func(func() any { return n.PeerCount() })),
		relay.WithListAge(listAge), relay.WithResponsivenessHandler(n.reportUnresponsive), relay.WithPeerFindingHandler(n.usage.Responsive), relay.WithUsageSharing(n.sendUsage), relay.WithLeavingHandler(n.markLeaving), relay.WithReplacedHandler(n.markReplaced), relay.WithQuarantine(n.handleQuarantineEvent),
		relay.WithPermitExchange(n.usage.SendPermitRequest, n.usage.SendPermitGrant))
	planner := placement.New(placement.WithDelay(provisionalDelay(s.Name)), placement.WithStart(n.clock.Now()), placement.WithContainment(n.panics.Run))
	n.placer = placer.New(planner, n.engines, n.clock, n.log, n.publishPlacement, placer.WithSeed(hash(s.Name)), placer.WithListAge(listAge),
		placer.WithResults(n.orderResults), placer.WithContainment(n.panics.Run))
	n.wakes = n.clock.Suspensions()
	n.wakes.OnResume(n.handleWake)
	n.follow(self, platform.NewPeerTransport(platform.WithDialer(dial)), n.applyConfig, n.applyFleet)
	n.peers = peering.New(self, s.PeerSeeds, n.store, n.local, n.local, n.clock, n.log, platform.NewOneShotTransport(platform.WithDialer(dial)), hash(s.Name),
		peering.WithFirstStart(s.FirstStart), peering.WithComparison(n.handleConfigCompared), peering.WithRestoreDoubt(s.keysMaxAge()), peering.WithGuard(n.guard), peering.WithTimeouts(n.overload.WithTimeout))
	n.limited = overload.NewListener(n.callerListener, n.overload)
	n.callers = newServer(n.limited, n.relay, n.log)
	n.peerServer = newServer(n.peerListener, n.peerHandler(), n.log)
	return n, nil
}

// follow builds the followers of the store and the state that they use about other nodes.
func (n *Node) follow(self *wire.Member, peerTransport http.RoundTripper, setCatalog func(follow.Proof) follow.ActiveConfig, setFleet func([]fleet.Change)) {
	within := n.settings.changeDeadline()
	n.roster = reading.NewRoster(self, n.clock.Now(), follow.FailoverWait(within), reading.WithStartWait(n.settings.startWait()), reading.WithExtendedLimits(n.overload.Extend))
	n.readLog = reading.NewLog(n.clock, follow.ProofLifetime, follow.FirstRequestWait(within))
	n.outage = &follow.Outage{}
	n.local = &localState{node: n, active: follow.ActiveConfig{Confirmed: clock.Never}}
	n.readers = &readers{node: n, client: &http.Client{Transport: peerTransport}}
	share := follow.WithReaders(n.readers, n.readLog)
	bound, guard := follow.WithChangeDeadline(within), follow.WithGuard(n.guard)
	n.catalogFollower = follow.NewCatalog(n.store, n.clock, n.log, n.outage, setCatalog, share, bound, guard)
	n.fleetFollower = follow.NewFleet(n.store, n.clock, n.log, n.outage, setFleet, share, bound, guard)
}

func hash(name string) uint64 {
	h := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// CallerAddress returns the address that accepts client requests. The settings may leave the
// port to the kernel.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// ReadinessAddress returns the address where the platform checks readiness.
func (n *Node) ReadinessAddress() string { return n.readinessListener.Addr().String() }

// PeerCount returns the number of other known nodes.
func (n *Node) PeerCount() int { return n.peers.NamedPeers() }

// PeerAddress returns the address that accepts queries of other nodes.
func (n *Node) PeerAddress() string { return n.peerListener.Addr().String() }

// UsageAddress returns the address that receives datagrams of other nodes.
func (n *Node) UsageAddress() string { return n.usage.Address() }

func (n *Node) listen() error {
	config := net.ListenConfig{Control: platform.SetAckTimeout}
	for _, l := range []struct {
		target  *net.Listener
		address string
	}{
		{&n.callerListener, n.settings.CallerListen},
		{&n.readinessListener, n.settings.ReadinessListen},
		{&n.metricsListener, n.settings.MetricsListen},
		{&n.peerListener, n.settings.PeerListen},
	} {
		listener, err := config.Listen(n.ctx, "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "node: listen at %s", l.address)
		}
		*l.target = listener
	}
	return nil
}

// Run serves until the context ends or a planned stop completes.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	n.log.Info("start", zap.String("node", n.settings.Name), zap.String("data_centre", n.settings.DataCentre),
		zap.Stringer("caller", n.callerListener.Addr()), zap.Stringer("peer", n.peerListener.Addr()))
	var g run.Group
	n.addLoop(&g, func(loop context.Context) error { return n.waitDrained(ctx, loop) })
	n.addLoop(&g, n.relay.Run)
	n.addLoop(&g, n.overload.Run)
	n.addLoop(&g, n.limited.Run)
	n.addLoop(&g, n.placer.Run)
	n.addLoop(&g, n.catalogFollower.Run)
	n.addLoop(&g, n.fleetFollower.Run)
	n.addLoop(&g, n.peers.MaintainRegistration)
	n.addLoop(&g, n.peers.RestoreRegistration)
	n.addLoop(&g, n.peers.Run)
	n.addLoop(&g, n.followTopology)
	n.addLoop(&g, n.usage.Run)
	n.addLoop(&g, n.keeper.Run)
	n.addLoop(&g, n.wakes.Run)
	n.addLoop(&g, n.logStoreCalls)
	n.addLoop(&g, n.watchList)
	for _, s := range []*httpserver.Server{n.callers, n.peerServer, newServer(n.readinessListener, http.HandlerFunc(n.relay.Readiness), n.log),
		newServer(n.metricsListener, http.HandlerFunc(n.relay.Metrics), n.log)} {
		n.addServer(&g, s)
	}
	err := g.Run()
	n.store.Close()
	n.engines.Close()
	n.log.Info("stop", logging.Err(err))
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

var (
	// errDrained stops the node after a planned stop.
	errDrained = errors.New("node: drained")
	// errFailed stops the node after a panic that is not contained.
	errFailed = errors.New("node: failed after a panic")
)

func (n *Node) waitDrained(ctx, loop context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-loop.Done():
		return loop.Err()
	case <-n.drained:
		return errDrained
	case <-n.failed:
		return errFailed
	}
}

func (n *Node) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		err := errFailed
		n.guard("loop", func() { err = loop(ctx) })
		return err
	}, func(error) { cancel() })
}

func (n *Node) addServer(g *run.Group, s *httpserver.Server) {
	g.Add(s.Serve, func(error) {
		if err := s.Close(); err != nil {
			n.log.Info("listener_not_closed", logging.Err(err))
		}
	})
}

// peerHandler serves the queries of other nodes and the requests that they pass on. Those keep the
// path that their caller chose, so a header tells them apart.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(n.peers.Handler())
	mux.Handle(reading.Handler(n.readLog, n.queryNewerConfig))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forwardwire.IsForwarded(r.Header) {
			n.relay.ServeForwarded(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
