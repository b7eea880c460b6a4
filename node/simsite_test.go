package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/relay"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// simStablePeriod is for how long a node must have had no disruption to be judged, and
	// simDeadline within what time it must know a change: the users' bounds.
	simStablePeriod = 3 * time.Second
	simDeadline     = 2 * time.Second
	// simMargin is what is left of a bound for the work on what a change brings.
	simMargin = 50 * time.Millisecond
	// simStatusInterval is how often nodes tell each other of themselves.
	simStatusInterval = 300 * time.Millisecond
	// simStoreLatency is what the store takes for an answer.
	simStoreLatency clock.Millis = 4
	// simCheckInterval is how often what nodes know is looked at.
	simCheckInterval = 10 * time.Millisecond
	simStoreHost     = "store"
)

// simEvent is something that happens at a time of a play.
type simEvent struct {
	at time.Duration
	// kind is the verb: silent, freeze, kill, cut_store, cut_nodes, refuse, refuse_list,
	// down, slow, leaves, ends, joins, config, rows, copy or returns.
	kind string
	// node is the node that it strikes; empty for all, or for the store.
	node string
	// duration is how long it lasts, share how many connections it strikes.
	duration time.Duration
	share    float64
	// mode is what a store answers that refuses: 503, 429, or silence; or how one is away that
	// comes back from a copy: down, hang, or not at all.
	mode string
	// rewriteDelay is how long after its return the operator writes what the store has lost.
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

// simChange is a change that the store has taken.
type simChange struct {
	at time.Time
	// upstream has said that it leaves, or has no entry any more; empty for a
	// configuration, of a version.
	upstream string
	version  uint64
	// crash tells that the upstream has ended without a word.
	crash bool
	// restoredEntry tells that the store has come back from a copy that shows it still.
	restoredEntry bool
	// missedBy are the nodes that are known to have missed it, and known those that know it,
	// by name.
	missedBy  map[string]bool
	appliedBy map[string]*simNode
}

// simSetting is what a site is like throughout a play.
type simSetting struct {
	// deadline is within what time changes must be known.
	deadline time.Duration
	// loss is the share of the nodes' word of themselves that is lost.
	loss float64
	// jitter bounds how long a node's processor makes what it sends wait, each time.
	jitter time.Duration
	// restores tells that the store of a seed comes back from copies.
	restores bool
}

// defaultSetting is that of the users' sites.
func defaultSetting() simSetting { return simSetting{deadline: simDeadline} }

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
	// listRejections is what the store answers some nodes that ask for the list alone.
	listRejections map[string]string
	calls          int
	// disturbedUntil is until when something lasts that disturbs a node, by name, or the
	// store.
	disturbedUntil map[string]time.Time
	changes        []*simChange
	next           int
	version        uint64
	failures       []string
	closed         bool
	// states are what upstreams say of themselves, without those that have ended.
	states map[string]string
	// restoredAt is when the store has come back from a copy last, and rows counts what others
	// have written.
	restoredAt time.Time
	rows       int
}

// simNode is a node's followers.
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

// simResult is what has come of a play: which nodes in touch did not know a change in
// time, and how often the store was called.
type simResult struct {
	failures []string
	calls    int
}

// runSim plays events on a site of some nodes.
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

// simUpstreams is how many upstreams there are at the start.
const simUpstreams = 40

func newSimSite(t *testing.T, setting simSetting, seed uint64, nodes int) *simSite {
	s := &simSite{
		t: t, setting: setting, net: newSimNet(), store: standin.NewRowStore(), random: rand.New(rand.NewPCG(seed, seed)), startedAt: time.Now(),
		nodes: make(map[string]*simNode), rejections: make(map[string]string), listRejections: make(map[string]string), disturbedUntil: make(map[string]time.Time), version: 1,
		states: make(map[string]string),
	}
	s.net.jitter(seed, setting.jitter)
	s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	for i := range simUpstreams {
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
		s.startNode(name)
	}
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *simSite) faults() standin.RowStoreFaults {
	return standin.RowStoreFaults{ResponseDelayMS: int64(simStoreLatency)}
}

// rejectingHandler turns nodes away, and counts calls.
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
			store.ServeHTTP(w, r)
		case "silence":
			<-r.Context().Done()
		case "429":
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (s *simSite) putUpstream(id, state string) {
	s.setState(id, state)
	s.store.Put("servers", id, s.entry(id, state))
}

// setState notes what an upstream says of itself, empty for one that has ended.
func (s *simSite) setState(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[id] = state
	if state == "" {
		delete(s.states, id)
	}
}

// entry is what an upstream says of itself.
func (s *simSite) entry(id, state string) []byte {
	entry, err := standin.EntryBytes(&platformpb.Server{Service: "writer", Address: id + ":1", Zone: "z", State: state})
	if err != nil {
		s.t.Fatal(err)
	}
	return entry
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
	life, end := context.WithCancel(context.Background())
	n := &simNode{stop: end, unavailable: make(map[string]bool), listed: make(map[string]bool)}
	c := clocktest.NewClock()
	n.Node = &Node{
		settings: &Settings{Name: name, DataCentre: "z", ConfigDeadline: clock.FromDuration(s.setting.deadline), LeavingDeadline: clock.FromDuration(s.setting.deadline)},
		log:      log, clock: c, ctx: life, unresponsive: newUnresponsiveReports(),
		store: platform.NewStore(simStoreHost+":1", log, platform.WithDialer(s.net.dial(name))),
		relay: relay.New(life, platform.Headers{}, dispatch.New(), c, log),
	}
	n.quarantined = newQuarantineSet(c, n.settings.quarantineDuration())
	n.keeper = keeper.New(n.store, c, log, true, func([]dispatch.Quarantined) {})
	peers := platform.NewPeerTransport(platform.WithDialer(s.net.dial(name)))
	n.closeIdle = peers.CloseIdleConnections
	n.follow(&wire.Member{Name: name, DataCentre: "z"}, peers, n.recordCatalog, n.recordFleet)
	n.peers = peering.New(&wire.Member{Name: name}, nil, n.store, n.local, n.local, c, log, peers, 1)
	n.roster.SetGroup(s.otherMembers(name))
	mux := http.NewServeMux()
	mux.Handle(reading.Handler(n.readLog, func(string) {}))
	server := &http.Server{Handler: mux}
	listener := s.net.listen(name)
	n.wg.Go(func() { _ = server.Serve(listener) })
	n.wg.Go(func() { _ = n.catalogFollower.Run(life) })
	n.wg.Go(func() { _ = n.fleetFollower.Run(life) })
	offset := time.Duration(s.random.Int64N(int64(simStatusInterval)))
	lost := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	n.wg.Go(func() { s.sendStatus(life, n, offset, lost) })
	n.wg.Go(func() {
		<-life.Done()
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
			others = append(others, &wire.Member{Name: other, DataCentre: "z", Address: other + ":1"})
		}
	}
	return others
}

// sendStatus tells other nodes of a node from time to time.
func (s *simSite) sendStatus(ctx context.Context, n *simNode, offset time.Duration, lost *rand.Rand) {
	clock.Sleep(ctx, offset)
	for ctx.Err() == nil {
		told := n.statusRecipients()
		for _, other := range s.reachablePeers(n) {
			if told != nil && !told[other.settings.Name] || lost.Float64() < s.setting.loss {
				continue
			}
			other.roster.UpdateStatus(other.clock.Now(), n.settings.Name, n.isFollowable())
		}
		clock.Sleep(ctx, simStatusInterval)
	}
}

// statusRecipients are the names of the nodes that a node tells of itself; nil for all.
func (n *simNode) statusRecipients() map[string]bool {
	circle := n.roster.Topology(n.clock.Now())
	if circle.FullMesh {
		return nil
	}
	told := make(map[string]bool)
	for _, m := range slices.Concat(circle.Hubs, circle.Leaves, circle.MissingHubs) {
		told[m.GetName()] = true
	}
	return told
}

// reachablePeers returns the nodes that a node's word reaches.
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

// recordCatalog takes what the follower of the configuration tells.
func (n *simNode) recordCatalog(p follow.Proof) follow.ActiveConfig {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken, inForce := n.local.apply(p)
	if taken == follow.Replaced {
		n.version, _, _ = p.Edition.Parts()
	}
	return inForce
}

// recordFleet takes what the follower of the list tells.
func (n *simNode) recordFleet(changes []fleet.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range changes {
		n.unavailable[string(c.ID.ID())] = c.Gone || c.Upstream.Leaving
	}
}

// isUpToDate tells whether the node knows a change. One that has started since needs not.
func (n *simNode) isUpToDate(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	left, listed := n.unavailable[c.upstream]
	return left || !listed
}

// apply lets an event happen.
func (s *simSite) apply(e simEvent) {
	ends := time.Now().Add(e.duration)
	switch e.kind {
	case "silent":
		s.net.muteLinks(s.random.Uint64(), e.share, e.node)
		s.markDisturbed(ends, s.names...)
	case "freeze":
		s.runFault(e, ends, func(on bool) { s.net.update(func() { s.net.frozen[e.node] = on }) }, e.node)
	case "cut_store":
		s.runFault(e, ends, func(on bool) { s.net.update(func() { s.net.cut[pair(e.node, simStoreHost)] = on }) }, e.node)
	case "cut_nodes":
		s.runFault(e, ends, func(on bool) {
			s.net.update(func() {
				for _, other := range s.names {
					s.net.cut[pair(e.node, other)] = on && other != e.node
				}
			})
		}, e.node)
	case "refuse":
		s.runFault(e, ends, func(on bool) { s.setRejection(s.rejections, e, on) }, simStoreHost)
	case "refuse_list":
		s.runFault(e, ends, func(on bool) { s.setRejection(s.listRejections, e, on) }, simStoreHost)
	case "down", "hang", "slow":
		s.runFault(e, ends, func(on bool) { s.setStoreFault(e.kind, on) }, simStoreHost)
	case "kill":
		s.runFault(e, ends, func(on bool) { s.setKilled(e.node, on) }, e.node)
	case "leaves", "ends", "joins", "config":
		s.changeStore(e.kind)
	case "rows":
		s.rows++
		s.store.Put("other", fmt.Sprint(s.rows), nil)
	case "copy":
		s.store.Backup()
	case "returns":
		s.runFault(e, ends, func(on bool) { s.restoreStore(e, on) }, simStoreHost)
	default:
		s.t.Fatalf("no event %q", e.kind)
	}
}

// markDisturbed notes that hosts are disturbed until a time.
func (s *simSite) markDisturbed(until time.Time, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		if until.After(s.disturbedUntil[host]) {
			s.disturbedUntil[host] = until
		}
	}
}

// runFault turns a fault on, and off when its time is over.
func (s *simSite) runFault(e simEvent, ends time.Time, turn func(on bool), host string) {
	if host == simStoreHost {
		s.ignoreRecentCrashes()
	}
	s.markDisturbed(ends, host)
	turn(true)
	go func() {
		time.Sleep(e.duration)
		turn(false)
	}()
}

// simPollPause is for how long a node may not have asked for changes: its pause after one,
// and some more.
const simPollPause = 1200 * time.Millisecond

// ignoreRecentCrashes leaves upstreams out of account that have ended right before an outage of
// the store: who has not seen that yet cannot tell it from an entry that lapsed in it.
func (s *simSite) ignoreRecentCrashes() {
	s.changes = slices.DeleteFunc(s.changes, func(c *simChange) bool {
		return c.crash && time.Since(c.at) < simPollPause
	})
}

func (s *simSite) setRejection(in map[string]string, e simEvent, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range s.names {
		if e.node == name || e.node == "" && float64(i) < e.share*float64(len(s.names)) {
			in[name] = ""
			if on {
				in[name] = e.mode
			}
		}
	}
}

// simSlowLatency is what a slow store takes for an answer: sixty times the usual.
const simSlowLatency = 60 * simStoreLatency

func (s *simSite) setStoreFault(what string, on bool) {
	f := s.faults()
	if on {
		f.Down, f.Unresponsive = what == "down", what == "hang"
		if what == "slow" {
			f.ResponseDelayMS = int64(simSlowLatency)
		}
	}
	s.store.SetFaults(f)
}

// setKilled ends a node's process, or starts it anew unless it runs.
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

// changeStore lets an upstream leave, or end without a word, or changes the
// configuration.
func (s *simSite) changeStore(what string) {
	c := &simChange{at: time.Now(), missedBy: make(map[string]bool), appliedBy: make(map[string]*simNode)}
	switch {
	case what == "config":
		s.version++
		c.version = s.version
		s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	case what == "joins":
		s.putUpstream(fmt.Sprintf("j%d", len(s.states)), "ready")
		return
	case s.next >= simUpstreams:
		return
	default:
		c.upstream = fmt.Sprintf("u%d", s.next)
		s.next++
		if what == "leaves" {
			s.putUpstream(c.upstream, "draining")
		} else {
			s.setState(c.upstream, "")
			s.store.Remove("servers", c.upstream)
		}
	}
	c.crash = what == "ends"
	// Around an outage an entry may vanish whose upstream lives, and counts on for a
	// while. The users count only what a store has taken that was well.
	if c.crash && !s.storeStable() {
		return
	}
	s.changes = append(s.changes, c)
}

// storeStable tells whether the store has had no disruption for a while.
func (s *simSite) storeStable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.disturbedUntil[simStoreHost]) >= simStablePeriod
}

// check notes what nodes in touch should know and do not. Only what the store has
// taken while it was well counts.
func (s *simSite) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, n := range s.nodes {
		since := now.Add(simMargin)
		s.checkLostState(name, n)
		if since.Before(s.disturbedUntil[name].Add(simStablePeriod)) {
			continue
		}
		storeWell := !since.Before(s.disturbedUntil[simStoreHost].Add(simStablePeriod))
		onlyReturned := !s.restoredAt.IsZero() && !s.disturbedUntil[simStoreHost].After(s.restoredAt)
		for _, c := range s.changes {
			// What is confirmed right after a return counts from then.
			if !storeWell && (!onlyReturned || c.version == 0 || c.at.Before(s.restoredAt)) {
				continue
			}
			if c.restoredEntry || c.missedBy[name] || since.Before(c.at.Add(s.setting.deadline)) || n.isUpToDate(c) {
				continue
			}
			c.missedBy[name] = true
			s.failures = append(s.failures, fmt.Sprintf("at %d %s does not know %s%s of %d",
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

// close ends all, silent connections too.
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

// maxFaultDuration bounds how long an event lasts, and a call without an answer.
const maxFaultDuration = 30 * time.Second
