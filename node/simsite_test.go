package node

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/keeper"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/overload"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/relay"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// simStablePeriod is how long a node must have had no fault before it is checked, and
	// simDeadline is the time within which it must have a change: both bounds are the users'.
	simStablePeriod = 3 * time.Second
	simDeadline     = 2 * time.Second
	// simMargin is the part of the deadline that is reserved for the work after a change has
	// reached a node.
	simMargin = 50 * time.Millisecond
	// simStatusInterval is how often nodes send their status to each other.
	simStatusInterval = 300 * time.Millisecond
	// simStoreLatency is how long the store takes to answer.
	simStoreLatency clock.Millis = 4
	// simCheckInterval is how often the state of the nodes is checked.
	simCheckInterval = 10 * time.Millisecond
	simStoreHost     = "store"
)

// simEvent is an event at a time of a run.
type simEvent struct {
	at time.Duration
	// kind is one of silent, freeze, kill, cut_store, cut_nodes, refuse, refuse_list, down,
	// slow, leaves, ends, joins, config, rows, copy or returns.
	kind string
	// node is the affected node; empty for all nodes, or for the store.
	node string
	// duration is how long the fault lasts; share is the share of the connections that it
	// affects.
	duration time.Duration
	share    float64
	// mode is how a store refuses a call (503, 429 or silence), or how it is unavailable before
	// a restore (down, hang, or empty for available).
	mode string
	// rewriteDelay is the time between a store restore and the rewrite of the configuration by
	// the operator.
	rewriteDelay time.Duration
}

func (e simEvent) String() string {
	text := fmt.Sprintf("at=%d %s", e.at.Milliseconds(), e.kind)
	if e.node != "" {
		text += " node=" + e.node
	}
	if e.duration > 0 {
		text += fmt.Sprintf(" for=%d", e.duration.Milliseconds())
	}
	if e.share > 0 && e.share < 1 {
		text += fmt.Sprintf(" share=%.2f", e.share)
	}
	if e.mode != "" {
		text += " how=" + e.mode
	}
	if e.rewriteDelay > 0 {
		text += fmt.Sprintf(" rewrites=%d", e.rewriteDelay.Milliseconds())
	}
	return text
}

// simChange is a change that the store has accepted.
type simChange struct {
	at time.Time
	// upstream is the upstream that leaves or has crashed; it is empty for a change of the
	// configuration, which has a version.
	upstream string
	version  uint64
	// crash reports whether the upstream crashed without notice.
	crash bool
	// restoredEntry reports whether a store restore has brought back the entry of the crashed
	// upstream.
	restoredEntry bool
	// missedBy holds the names of the nodes whose failure to apply the change in time is
	// recorded; appliedBy holds the nodes that have applied it, by name.
	missedBy  map[string]bool
	appliedBy map[string]*simNode
}

// simSetting holds the properties of a site that do not change during a run.
type simSetting struct {
	// deadline is the time within which changes must reach all nodes.
	deadline time.Duration
	// loss is the share of lost status messages between nodes.
	loss float64
	// jitter bounds the delay of each write of a node by its busy processor.
	jitter time.Duration
	// restores reports whether the events of a seed include store restores.
	restores bool
	// hubs is the number of nodes, the first by name, whose VMs have several times the capacity
	// of the others; 0 if the capacities are unknown.
	hubs int
	// upstreams is the number of upstreams at the start.
	upstreams int
	// decodeTime is how long a node takes to decode an entry of the store on a VM with one core.
	decodeTime time.Duration
	// startOffset returns when a node starts; nil if all start at once.
	startOffset func(name string) time.Duration
}

// defaultSetting returns the setting of the users' sites.
func defaultSetting() simSetting { return simSetting{deadline: simDeadline, upstreams: simUpstreams} }

// simSite is a store and the nodes that follow it, in virtual time.
type simSite struct {
	t          *testing.T
	setting    simSetting
	net        *simNet
	store      *standin.RowStore
	random     *rand.Rand
	startedAt  time.Time
	names      []string
	mu         sync.Mutex
	nodes      map[string]*simNode
	rejections map[string]string
	// listRejections holds the store's answer to a node's requests for the list, by name of the
	// node.
	listRejections map[string]string
	calls          int
	// disturbedUntil holds the end of the last fault of each node and of the store, by name.
	disturbedUntil map[string]time.Time
	changes        []*simChange
	next           int
	version        uint64
	failures       []string
	closed         bool
	// states holds the state in the entry of each upstream that has not crashed.
	states map[string]string
	// restoredAt is the time of the last store restore; rows counts the rows of other writers.
	restoredAt time.Time
	rows       int
}

// simNode holds the followers of a node.
type simNode struct {
	*Node
	stop        context.CancelFunc
	wg          sync.WaitGroup
	closeIdle   func()
	mu          sync.Mutex
	unavailable map[string]bool
	listed      map[string]bool
	version     uint64
}

// simResult is the result of a run: the failures of nodes without a fault to apply changes in
// time, and the number of store calls.
type simResult struct {
	failures []string
	calls    int
}

// runSim runs events on a site with some nodes.
func runSim(t *testing.T, setting simSetting, seed uint64, nodes int, until time.Duration, events []simEvent) (result simResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimSite(t, setting, seed, nodes)
		defer s.close()
		slices.SortStableFunc(events, func(a, b simEvent) int { return int(a.at - b.at) })
		for at := time.Duration(0); at < until; at += simCheckInterval {
			for len(events) > 0 && events[0].at <= at {
				s.apply(events[0])
				events = events[1:]
			}
			time.Sleep(simCheckInterval)
			s.check()
		}
		result = simResult{failures: s.failures, calls: s.calls}
	})
	return result
}

// simUpstreams is the number of upstreams at the start.
const simUpstreams = 40

func newSimSite(t *testing.T, setting simSetting, seed uint64, nodes int) *simSite {
	s := &simSite{
		t: t, setting: setting, net: newSimNet(), store: standin.NewRowStore(), random: rand.New(rand.NewPCG(seed, seed)), startedAt: time.Now(),
		nodes: make(map[string]*simNode), rejections: make(map[string]string), listRejections: make(map[string]string), disturbedUntil: make(map[string]time.Time), version: 1,
		states: make(map[string]string),
	}
	s.net.jitter(seed, setting.jitter)
	s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	for i := range setting.upstreams {
		s.putUpstream(fmt.Sprintf("u%d", i), "ready")
	}
	s.store.SetFaults(s.faults())
	server := &http.Server{Handler: s.rejectingHandler(s.store.Handler())}
	listener := s.net.listen(simStoreHost)
	go func() { _ = server.Serve(listener) }()
	for i := range nodes {
		s.names = append(s.names, fmt.Sprintf("n%02d", i+1))
	}
	for _, name := range s.names {
		s.scheduleStart(name)
	}
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *simSite) faults() standin.RowStoreFaults {
	return standin.RowStoreFaults{ResponseDelayMS: int64(simStoreLatency)}
}

// rejectingHandler rejects the calls of some nodes, and counts all calls.
func (s *simSite) rejectingHandler(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		how := s.rejections[host]
		if how == "" && r.URL.Query().Get("table") == "servers" {
			how = s.listRejections[host]
		}
		s.mu.Unlock()
		switch how {
		case "":
			s.serveStore(store, host, w, r)
		case "silence":
			<-r.Context().Done()
		case "429":
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// serveStore passes a call to the store, and delays the answer by the time that the node needs to
// decode the entries in it.
func (s *simSite) serveStore(store http.Handler, host string, w http.ResponseWriter, r *http.Request) {
	if s.setting.decodeTime == 0 {
		store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	store.ServeHTTP(answer, r)
	entries := bytes.Count(answer.Body.Bytes(), []byte(`"privateKey"`))
	time.Sleep(time.Duration(float64(entries) * float64(s.setting.decodeTime) / simCores(s.isHub(host))))
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (s *simSite) putUpstream(id, state string) {
	s.setState(id, state)
	s.store.Put("servers", id, s.entry(id, state))
}

// setState sets the state of an upstream; empty for a crashed one.
func (s *simSite) setState(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[id] = state
	if state == "" {
		delete(s.states, id)
	}
}

// entry returns the entry of an upstream.
func (s *simSite) entry(id, state string) []byte {
	entry, err := standin.EntryBytes(&platformpb.Server{Service: "writer", Address: id + ":1", Zone: "z", State: state})
	if err != nil {
		s.t.Fatal(err)
	}
	return entry
}

// scheduleStart starts a node at its offset. Until then its host is switched off.
func (s *simSite) scheduleStart(name string) {
	if s.setting.startOffset == nil {
		s.startNode(name)
		return
	}
	s.net.update(func() { s.net.off[name] = true })
	time.AfterFunc(s.setting.startOffset(name), func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		s.net.update(func() { delete(s.net.off, name) })
		s.startNode(name)
	})
}

// simCores is the number of cores of the VM of a node, which is a hub if hub is set.
func simCores(hub bool) float64 {
	if hub {
		return 0.64
	}
	return 0.16
}

// member returns the record of a node.
func (s *simSite) member(name string) *wire.Member {
	m := &wire.Member{Name: name, DataCentre: "z", Address: name + ":1"}
	if s.setting.hubs > 0 {
		m.Strength = uint32(simCores(s.isHub(name)) * capacityPerCore)
	}
	return m
}

func (s *simSite) isHub(name string) bool {
	return slices.Index(s.names, name) < s.setting.hubs
}

// startNode starts a node.
func (s *simSite) startNode(name string) {
	log := zap.NewNop()
	if os.Getenv("SIM_LOG") != "" {
		to, err := logging.NewTo("debug", zapcore.Lock(os.Stdout))
		if err != nil {
			s.t.Fatal(err)
		}
		log = to.With(zap.String("node", name))
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &simNode{stop: cancel, unavailable: make(map[string]bool), listed: make(map[string]bool)}
	c := clocktest.NewClock()
	n.Node = &Node{
		settings: &Settings{Name: name, DataCentre: "z", ConfigDeadline: clock.FromDuration(s.setting.deadline), LeavingDeadline: clock.FromDuration(s.setting.deadline)},
		log:      log, clock: c, ctx: ctx, unresponsive: newEngineReports(), overload: overload.NewMonitor(c, log, 1),
		store: platform.NewStore(simStoreHost+":1", log, platform.WithStoreDialer(s.net.dial(name))),
		relay: relay.New(ctx, platform.Headers{}, dispatch.New(), c, log),
	}
	n.quarantined = newQuarantineSet(c, n.settings.quarantineDuration())
	n.keeper = keeper.New(n.store, c, log, true, func([]dispatch.Quarantined) {})
	peers := platform.NewPeerTransport(platform.WithDialer(s.net.dial(name)))
	n.closeIdle = peers.CloseIdleConnections
	n.follow(s.member(name), peers, n.recordCatalog, n.recordFleet)
	n.peers = peering.New(&wire.Member{Name: name}, nil, n.store, n.local, n.local, c, log, peers, 1)
	n.roster.SetGroup(s.otherMembers(name))
	mux := http.NewServeMux()
	mux.Handle(reading.Handler(n.readLog, func(string) {}))
	server := &http.Server{Handler: mux}
	listener := s.net.listen(name)
	n.wg.Go(func() { _ = server.Serve(listener) })
	n.wg.Go(func() { _ = n.catalogFollower.Run(ctx) })
	n.wg.Go(func() { _ = n.fleetFollower.Run(ctx) })
	offset := time.Duration(s.random.Int64N(int64(simStatusInterval)))
	loss := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	n.wg.Go(func() { s.sendStatus(ctx, n, offset, loss) })
	n.wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = n
	if now := time.Now(); now.After(s.disturbedUntil[name]) {
		s.disturbedUntil[name] = now
	}
}

func (s *simSite) otherMembers(name string) []*wire.Member {
	var others []*wire.Member
	for _, other := range s.names {
		if other != name {
			others = append(others, s.member(other))
		}
	}
	return others
}

// sendStatus sends a node's status to the other nodes periodically.
func (s *simSite) sendStatus(ctx context.Context, n *simNode, offset time.Duration, loss *rand.Rand) {
	clock.Sleep(ctx, offset)
	for ctx.Err() == nil {
		recipients := n.statusRecipients()
		for _, other := range s.reachablePeers(n) {
			if recipients != nil && !recipients[other.settings.Name] || loss.Float64() < s.setting.loss {
				continue
			}
			other.roster.UpdateStatus(other.clock.Now(), n.settings.Name, n.isFollowable())
		}
		clock.Sleep(ctx, simStatusInterval)
	}
}

// statusRecipients returns the names of the nodes that receive a node's status; nil for all.
func (n *simNode) statusRecipients() map[string]bool {
	circle := n.roster.Topology(n.clock.Now())
	if circle.FullMesh {
		return nil
	}
	recipients := make(map[string]bool)
	for _, m := range slices.Concat(circle.Hubs, circle.Leaves, circle.MissingHubs) {
		recipients[m.GetName()] = true
	}
	return recipients
}

// reachablePeers returns the nodes that a status message of a node can reach.
func (s *simSite) reachablePeers(n *simNode) []*simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []*simNode
	for _, name := range s.names {
		other := s.nodes[name]
		if free, _ := s.net.canPass(n.settings.Name, name); free && other != nil && other != n {
			peers = append(peers, other)
		}
	}
	return peers
}

// recordCatalog applies a proof of the configuration from the follower, and records the version.
func (n *simNode) recordCatalog(p follow.Proof) follow.ActiveConfig {
	n.mu.Lock()
	defer n.mu.Unlock()
	result, active := n.local.apply(p)
	if result == follow.Replaced {
		n.version, _, _ = p.Edition.Parts()
	}
	return active
}

// recordFleet records changes of the list from the follower.
func (n *simNode) recordFleet(changes []fleet.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range changes {
		n.unavailable[string(c.ID.ID())] = c.Gone || c.Upstream.Leaving
	}
}

// isUpToDate reports whether the node has applied a change. A node that has started after an
// upstream was removed never had it.
func (n *simNode) isUpToDate(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	left, listed := n.unavailable[c.upstream]
	return left || !listed
}

// apply applies an event to the site.
func (s *simSite) apply(e simEvent) {
	until := time.Now().Add(e.duration)
	switch e.kind {
	case "silent":
		s.net.muteLinks(s.random.Uint64(), e.share, e.node)
		s.markDisturbed(until, s.names...)
	case "freeze":
		s.runFault(e, until, func(on bool) { s.net.update(func() { s.net.frozen[e.node] = on }) }, e.node)
	case "cut_store":
		s.runFault(e, until, func(on bool) { s.net.update(func() { s.net.cut[pair(e.node, simStoreHost)] = on }) }, e.node)
	case "cut_nodes":
		s.runFault(e, until, func(on bool) {
			s.net.update(func() {
				for _, other := range s.names {
					s.net.cut[pair(e.node, other)] = on && other != e.node
				}
			})
		}, e.node)
	case "refuse":
		s.runFault(e, until, func(on bool) { s.setRejection(s.rejections, e, on) }, simStoreHost)
	case "refuse_list":
		s.runFault(e, until, func(on bool) { s.setRejection(s.listRejections, e, on) }, simStoreHost)
	case "down", "hang", "slow":
		s.runFault(e, until, func(on bool) { s.setStoreFault(e.kind, on) }, simStoreHost)
	case "kill":
		s.runFault(e, until, func(on bool) { s.setKilled(e.node, on) }, e.node)
	case "leaves", "ends", "joins", "config":
		s.changeStore(e.kind)
	case "rows":
		s.rows++
		s.store.Put("other", fmt.Sprint(s.rows), nil)
	case "copy":
		s.store.Backup()
	case "returns":
		s.runFault(e, until, func(on bool) { s.restoreStore(e, on) }, simStoreHost)
	default:
		s.t.Fatalf("unknown event %q", e.kind)
	}
}

// markDisturbed records that hosts are affected by a fault until a time.
func (s *simSite) markDisturbed(until time.Time, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		if until.After(s.disturbedUntil[host]) {
			s.disturbedUntil[host] = until
		}
	}
}

// runFault starts a fault, and ends it after its duration.
func (s *simSite) runFault(e simEvent, until time.Time, set func(on bool), host string) {
	if host == simStoreHost {
		s.ignoreRecentCrashes()
	}
	s.markDisturbed(until, host)
	set(true)
	go func() {
		time.Sleep(e.duration)
		set(false)
	}()
}

// simPollPause is the longest time between two requests of a node for changes: the pause after a
// change and a margin.
const simPollPause = 1200 * time.Millisecond

// ignoreRecentCrashes ignores upstreams that have crashed right before an outage of the store: a
// node that has not seen the removal yet cannot distinguish it from a false removal during the
// outage.
func (s *simSite) ignoreRecentCrashes() {
	s.changes = slices.DeleteFunc(s.changes, func(c *simChange) bool {
		return c.crash && time.Since(c.at) < simPollPause
	})
}

func (s *simSite) setRejection(rejections map[string]string, e simEvent, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range s.names {
		if e.node == name || e.node == "" && float64(i) < e.share*float64(len(s.names)) {
			rejections[name] = ""
			if on {
				rejections[name] = e.mode
			}
		}
	}
}

// simSlowLatency is how long a slow store takes to answer: sixty times the usual latency.
const simSlowLatency = 60 * simStoreLatency

func (s *simSite) setStoreFault(kind string, on bool) {
	f := s.faults()
	if on {
		f.Down, f.Unresponsive = kind == "down", kind == "hang"
		if kind == "slow" {
			f.ResponseDelayMS = int64(simSlowLatency)
		}
	}
	s.store.SetFaults(f)
}

// setKilled kills a node's process, or starts it unless it runs.
func (s *simSite) setKilled(name string, on bool) {
	s.mu.Lock()
	n, closed := s.nodes[name], s.closed
	if on {
		delete(s.nodes, name)
	}
	s.mu.Unlock()
	switch {
	case on && n != nil:
		s.stop(n)
	case !on && n == nil && !closed:
		s.startNode(name)
	}
}

func (s *simSite) stop(n *simNode) {
	n.stop()
	s.net.mu.Lock()
	listener := s.net.listeners[n.settings.Name]
	s.net.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	n.store.Close()
	n.closeIdle()
	n.wg.Wait()
}

// changeStore makes an upstream leave or crash without notice, adds an upstream, or changes the
// configuration.
func (s *simSite) changeStore(kind string) {
	c := &simChange{at: time.Now(), missedBy: make(map[string]bool), appliedBy: make(map[string]*simNode)}
	switch {
	case kind == "config":
		s.version++
		c.version = s.version
		s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	case kind == "joins":
		s.putUpstream(fmt.Sprintf("j%d", len(s.states)), "ready")
		return
	case s.next >= s.setting.upstreams:
		return
	default:
		c.upstream = fmt.Sprintf("u%d", s.next)
		s.next++
		if kind == "leaves" {
			s.putUpstream(c.upstream, "draining")
		} else {
			s.setState(c.upstream, "")
			s.store.Remove("servers", c.upstream)
		}
	}
	c.crash = kind == "ends"
	// Around an outage the entry of a running upstream may be removed falsely, so nodes keep
	// using it for a while. The users' bound is for changes that a stable store has accepted.
	if c.crash && !s.storeStable() {
		return
	}
	s.changes = append(s.changes, c)
}

// storeStable reports whether the store has had no fault for simStablePeriod.
func (s *simSite) storeStable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.disturbedUntil[simStoreHost]) >= simStablePeriod
}

// check records a failure for each node without a recent fault that lacks a change that is past
// its deadline. Only changes accepted by a stable store count.
func (s *simSite) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, n := range s.nodes {
		checkAt := now.Add(simMargin)
		s.checkLostState(name, n)
		if checkAt.Before(s.disturbedUntil[name].Add(simStablePeriod)) {
			continue
		}
		storeStable := !checkAt.Before(s.disturbedUntil[simStoreHost].Add(simStablePeriod))
		onlyRestored := !s.restoredAt.IsZero() && !s.disturbedUntil[simStoreHost].After(s.restoredAt)
		for _, c := range s.changes {
			// A configuration that is written right after a restore counts from the restore on.
			if !storeStable && (!onlyRestored || c.version == 0 || c.at.Before(s.restoredAt)) {
				continue
			}
			if c.restoredEntry || c.missedBy[name] || checkAt.Before(c.at.Add(s.setting.deadline)) || n.isUpToDate(c) {
				continue
			}
			c.missedBy[name] = true
			s.failures = append(s.failures, fmt.Sprintf("at %d %s lacks %s%s of %d",
				now.Sub(s.startedAt).Milliseconds(), name, c.upstream, versionText(c.version), c.at.Sub(s.startedAt).Milliseconds()))
		}
	}
}

func versionText(version uint64) string {
	if version == 0 {
		return ""
	}
	return fmt.Sprintf("version %d", version)
}

// close stops all nodes, also those with silent connections.
func (s *simSite) close() {
	s.net.update(func() {
		clear(s.net.frozen)
		clear(s.net.cut)
	})
	s.mu.Lock()
	nodes := s.nodes
	s.nodes, s.closed = make(map[string]*simNode), true
	s.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
	s.net.mu.Lock()
	var listeners []*simListener
	for _, l := range s.net.listeners {
		listeners = append(listeners, l)
	}
	s.net.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, n := range nodes {
		s.stop(n)
	}
	time.Sleep(maxFaultDuration)
}

// maxFaultDuration bounds the duration of an event, and of a call without an answer.
const maxFaultDuration = 30 * time.Second
