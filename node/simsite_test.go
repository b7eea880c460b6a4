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
	// simContact is for how long a node must have had no disruption to be judged, and
	// simWithin within what time it must know a change: the users' bounds.
	simContact = 3 * time.Second
	simWithin  = 2 * time.Second
	// simReserve is what is left of a bound for the work on what a change brings.
	simReserve = 50 * time.Millisecond
	// simWord is how often nodes tell each other of themselves.
	simWord = 300 * time.Millisecond
	// simAnswer is what the store takes for an answer.
	simAnswer clock.Millis = 4
	// simLook is how often what nodes know is looked at.
	simLook  = 10 * time.Millisecond
	simStore = "store"
)

// simEvent is something that happens at a time of a play.
type simEvent struct {
	at time.Duration
	// what is the verb: silent, freeze, kill, cut_store, cut_nodes, refuse, refuse_list,
	// down, slow, leaves, ends, joins, config, rows, copy or returns.
	what string
	// node is the node that it strikes; empty for all, or for the store.
	node string
	// lasts is how long it lasts, share how many connections it strikes.
	lasts time.Duration
	share float64
	// how is what a store answers that refuses: 503, 429, or silence; or how one is away that
	// comes back from a copy: down, hang, or not at all.
	how string
	// rewrites is how long after its return the operator writes what the store has lost.
	rewrites time.Duration
}

func (e simEvent) String() string {
	text := fmt.Sprintf("at=%d %s", e.at.Milliseconds(), e.what)
	if e.node != "" {
		text += " node=" + e.node
	}
	if e.lasts > 0 {
		text += fmt.Sprintf(" for=%d", e.lasts.Milliseconds())
	}
	if e.share > 0 && e.share < 1 {
		text += fmt.Sprintf(" share=%.2f", e.share)
	}
	if e.how != "" {
		text += " how=" + e.how
	}
	if e.rewrites > 0 {
		text += fmt.Sprintf(" rewrites=%d", e.rewrites.Milliseconds())
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
	// ends tells that the upstream has ended without a word.
	ends bool
	// undone tells that the store has come back from a copy that shows it still.
	undone bool
	// reported are the nodes that are known to have missed it, and known those that know it,
	// by name.
	reported map[string]bool
	known    map[string]*simNode
}

// simSetting is what a site is like throughout a play.
type simSetting struct {
	// within is within what time changes must be known.
	within time.Duration
	// loss is the share of the nodes' word of themselves that is lost.
	loss float64
	// jitter bounds how long a node's processor makes what it sends wait, each time.
	jitter time.Duration
	// returns tells that the store of a seed comes back from copies.
	returns bool
}

// usualSetting is that of the users' sites.
func usualSetting() simSetting { return simSetting{within: simWithin} }

// simSite is a store and the nodes that follow it, in virtual time.
type simSite struct {
	t       *testing.T
	setting simSetting
	net     *simNet
	store   *standin.RowStore
	random  *rand.Rand
	began   time.Time
	names   []string
	mu      sync.Mutex
	nodes   map[string]*simNode
	refuses map[string]string
	// refusesList is what the store answers some nodes that ask for the list alone.
	refusesList map[string]string
	calls       int
	// disturbed is until when something lasts that disturbs a node, by name, or the
	// store.
	disturbed map[string]time.Time
	changes   []*simChange
	next      int
	version   uint64
	missed    []string
	closed    bool
	// states are what upstreams say of themselves, without those that have ended.
	states map[string]string
	// returned is when the store has come back from a copy last, and rows counts what others
	// have written.
	returned time.Time
	rows     int
}

// simNode is a node's followers.
type simNode struct {
	*Node
	end     context.CancelFunc
	ended   sync.WaitGroup
	idle    func()
	mu      sync.Mutex
	left    map[string]bool
	listed  map[string]bool
	version uint64
}

// simResult is what has come of a play: which nodes in touch did not know a change in
// time, and how often the store was called.
type simResult struct {
	missed []string
	calls  int
}

// playSim plays events on a site of some nodes.
func playSim(t *testing.T, setting simSetting, seed uint64, nodes int, until time.Duration, events []simEvent) (result simResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimSite(t, setting, seed, nodes)
		defer s.close()
		slices.SortStableFunc(events, func(a, b simEvent) int { return int(a.at - b.at) })
		for at := time.Duration(0); at < until; at += simLook {
			for len(events) > 0 && events[0].at <= at {
				s.do(events[0])
				events = events[1:]
			}
			time.Sleep(simLook)
			s.judge()
		}
		result = simResult{missed: s.missed, calls: s.calls}
	})
	return result
}

// simUpstreams is how many upstreams there are at the start.
const simUpstreams = 40

func newSimSite(t *testing.T, setting simSetting, seed uint64, nodes int) *simSite {
	s := &simSite{
		t: t, setting: setting, net: newSimNet(), store: standin.NewRowStore(), random: rand.New(rand.NewPCG(seed, seed)), began: time.Now(),
		nodes: make(map[string]*simNode), refuses: make(map[string]string), refusesList: make(map[string]string), disturbed: make(map[string]time.Time), version: 1,
		states: make(map[string]string),
	}
	s.net.jitter(seed, setting.jitter)
	s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	for i := range simUpstreams {
		s.put(fmt.Sprintf("u%d", i), "ready")
	}
	s.store.SetFaults(s.faults())
	server := &http.Server{Handler: s.front(s.store.Handler())}
	listener := s.net.listen(simStore)
	go func() { _ = server.Serve(listener) }()
	for i := range nodes {
		s.names = append(s.names, fmt.Sprintf("n%02d", i+1))
	}
	for _, name := range s.names {
		s.start(name)
	}
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *simSite) faults() standin.RowStoreFaults {
	return standin.RowStoreFaults{ResponseDelayMS: int64(simAnswer)}
}

// front turns nodes away, and counts calls.
func (s *simSite) front(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		how := s.refuses[host]
		if how == "" && r.URL.Query().Get("table") == "servers" {
			how = s.refusesList[host]
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

func (s *simSite) put(id, state string) {
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

// start starts a node.
func (s *simSite) start(name string) {
	log := zap.NewNop()
	if os.Getenv("SIM_LOG") != "" {
		to, err := logging.NewTo("debug", zapcore.Lock(os.Stdout))
		if err != nil {
			s.t.Fatal(err)
		}
		log = to.With(zap.String("node", name))
	}
	life, end := context.WithCancel(context.Background())
	n := &simNode{end: end, left: make(map[string]bool), listed: make(map[string]bool)}
	c := clocktest.NewClock()
	n.Node = &Node{
		settings: &Settings{Name: name, DataCentre: "z", ConfigWithin: clock.FromDuration(s.setting.within), LeavingWithin: clock.FromDuration(s.setting.within)},
		log:      log, clock: c, life: life, silences: newSilences(),
		store: platform.NewStore(simStore+":1", log, platform.WithDial(s.net.dial(name))),
		relay: relay.New(life, platform.Headers{}, dispatch.New(), c, log),
	}
	n.quarantined = newQuarantined(c, n.settings.quarantineLasts())
	n.keeper = keeper.New(n.store, c, log, true, func([]dispatch.Quarantined) {})
	peers := platform.NewPeerTransport(platform.WithDial(s.net.dial(name)))
	n.idle = peers.CloseIdleConnections
	n.follow(&wire.Member{Name: name, DataCentre: "z"}, peers, n.tellCatalog, n.tellFleet)
	n.peers = peering.New(&wire.Member{Name: name}, nil, n.store, n.known, n.known, c, log, peers, 1)
	n.roster.SetGroup(s.others(name))
	mux := http.NewServeMux()
	mux.Handle(reading.Handler(n.shared, func(string) {}))
	server := &http.Server{Handler: mux}
	listener := s.net.listen(name)
	n.ended.Go(func() { _ = server.Serve(listener) })
	n.ended.Go(func() { _ = n.catalogs.Run(life) })
	n.ended.Go(func() { _ = n.fleets.Run(life) })
	offset := time.Duration(s.random.Int64N(int64(simWord)))
	lost := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	n.ended.Go(func() { s.tellOthers(life, n, offset, lost) })
	n.ended.Go(func() {
		<-life.Done()
		_ = server.Close()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = n
	if now := time.Now(); now.After(s.disturbed[name]) {
		s.disturbed[name] = now
	}
}

func (s *simSite) others(name string) []*wire.Member {
	var others []*wire.Member
	for _, other := range s.names {
		if other != name {
			others = append(others, &wire.Member{Name: other, DataCentre: "z", Address: other + ":1"})
		}
	}
	return others
}

// tellOthers tells other nodes of a node from time to time.
func (s *simSite) tellOthers(ctx context.Context, n *simNode, offset time.Duration, lost *rand.Rand) {
	clock.Pause(ctx, offset)
	for ctx.Err() == nil {
		told := n.told()
		for _, other := range s.peersOf(n) {
			if told != nil && !told[other.settings.Name] || lost.Float64() < s.setting.loss {
				continue
			}
			other.roster.Heard(other.clock.Now(), n.settings.Name, n.followable())
		}
		clock.Pause(ctx, simWord)
	}
}

// told are the names of the nodes that a node tells of itself; nil for all.
func (n *simNode) told() map[string]bool {
	circle := n.roster.Topology(n.clock.Now())
	if circle.FullMesh {
		return nil
	}
	told := make(map[string]bool)
	for _, m := range slices.Concat(circle.Hubs, circle.Leaves, circle.Absent) {
		told[m.GetName()] = true
	}
	return told
}

// peersOf returns the nodes that a node's word reaches.
func (s *simSite) peersOf(n *simNode) []*simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []*simNode
	for _, name := range s.names {
		other := s.nodes[name]
		if free, _ := s.net.free(n.settings.Name, name); free && other != nil && other != n {
			peers = append(peers, other)
		}
	}
	return peers
}

// tellCatalog takes what the follower of the configuration tells.
func (n *simNode) tellCatalog(p follow.Proof) follow.ActiveConfig {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken, inForce := n.known.take(p)
	if taken == follow.Replaced {
		n.version, _, _ = p.Edition.Parts()
	}
	return inForce
}

// tellFleet takes what the follower of the list tells.
func (n *simNode) tellFleet(changes []fleet.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range changes {
		n.left[string(c.ID.ID())] = c.Gone || c.Upstream.Leaving
	}
}

// knows tells whether the node knows a change. One that has started since needs not.
func (n *simNode) knows(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	left, listed := n.left[c.upstream]
	return left || !listed
}

// do lets an event happen.
func (s *simSite) do(e simEvent) {
	ends := time.Now().Add(e.lasts)
	switch e.what {
	case "silent":
		s.net.silence(s.random.Uint64(), e.share, e.node)
		s.disturb(ends, s.names...)
	case "freeze":
		s.lasting(e, ends, func(on bool) { s.net.change(func() { s.net.frozen[e.node] = on }) }, e.node)
	case "cut_store":
		s.lasting(e, ends, func(on bool) { s.net.change(func() { s.net.cut[pair(e.node, simStore)] = on }) }, e.node)
	case "cut_nodes":
		s.lasting(e, ends, func(on bool) {
			s.net.change(func() {
				for _, other := range s.names {
					s.net.cut[pair(e.node, other)] = on && other != e.node
				}
			})
		}, e.node)
	case "refuse":
		s.lasting(e, ends, func(on bool) { s.refuse(s.refuses, e, on) }, simStore)
	case "refuse_list":
		s.lasting(e, ends, func(on bool) { s.refuse(s.refusesList, e, on) }, simStore)
	case "down", "hang", "slow":
		s.lasting(e, ends, func(on bool) { s.fail(e.what, on) }, simStore)
	case "kill":
		s.lasting(e, ends, func(on bool) { s.kill(e.node, on) }, e.node)
	case "leaves", "ends", "joins", "config":
		s.changeStore(e.what)
	case "rows":
		s.rows++
		s.store.Put("other", fmt.Sprint(s.rows), nil)
	case "copy":
		s.store.Backup()
	case "returns":
		s.lasting(e, ends, func(on bool) { s.returns(e, on) }, simStore)
	default:
		s.t.Fatalf("no event %q", e.what)
	}
}

// disturb notes that hosts are disturbed until a time.
func (s *simSite) disturb(until time.Time, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		if until.After(s.disturbed[host]) {
			s.disturbed[host] = until
		}
	}
}

// lasting turns a fault on, and off when its time is over.
func (s *simSite) lasting(e simEvent, ends time.Time, turn func(on bool), host string) {
	if host == simStore {
		s.forgetEnds()
	}
	s.disturb(ends, host)
	turn(true)
	go func() {
		time.Sleep(e.lasts)
		turn(false)
	}()
}

// simGather is for how long a node may not have asked for changes: its pause after one,
// and some more.
const simGather = 1200 * time.Millisecond

// forgetEnds leaves upstreams out of account that have ended right before an outage of
// the store: who has not seen that yet cannot tell it from an entry that lapsed in it.
func (s *simSite) forgetEnds() {
	s.changes = slices.DeleteFunc(s.changes, func(c *simChange) bool {
		return c.ends && time.Since(c.at) < simGather
	})
}

func (s *simSite) refuse(in map[string]string, e simEvent, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range s.names {
		if e.node == name || e.node == "" && float64(i) < e.share*float64(len(s.names)) {
			in[name] = ""
			if on {
				in[name] = e.how
			}
		}
	}
}

// simSlow is what a slow store takes for an answer: sixty times the usual.
const simSlow = 60 * simAnswer

func (s *simSite) fail(what string, on bool) {
	f := s.faults()
	if on {
		f.Down, f.Unresponsive = what == "down", what == "hang"
		if what == "slow" {
			f.ResponseDelayMS = int64(simSlow)
		}
	}
	s.store.SetFaults(f)
}

// kill ends a node's process, or starts it anew unless it runs.
func (s *simSite) kill(name string, on bool) {
	s.mu.Lock()
	n, closed := s.nodes[name], s.closed
	if on {
		delete(s.nodes, name)
	}
	s.mu.Unlock()
	switch {
	case on && n != nil:
		s.end(n)
	case !on && n == nil && !closed:
		s.start(name)
	}
}

func (s *simSite) end(n *simNode) {
	n.end()
	s.net.mu.Lock()
	listener := s.net.listeners[n.settings.Name]
	s.net.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	n.store.Close()
	n.idle()
	n.ended.Wait()
}

// changeStore lets an upstream leave, or end without a word, or changes the
// configuration.
func (s *simSite) changeStore(what string) {
	c := &simChange{at: time.Now(), reported: make(map[string]bool), known: make(map[string]*simNode)}
	switch {
	case what == "config":
		s.version++
		c.version = s.version
		s.store.Put("op", "config", standin.SiteConfig(s.version, "k1"))
	case what == "joins":
		s.put(fmt.Sprintf("j%d", len(s.states)), "ready")
		return
	case s.next >= simUpstreams:
		return
	default:
		c.upstream = fmt.Sprintf("u%d", s.next)
		s.next++
		if what == "leaves" {
			s.put(c.upstream, "draining")
		} else {
			s.setState(c.upstream, "")
			s.store.Remove("servers", c.upstream)
		}
	}
	c.ends = what == "ends"
	// Around an outage an entry may vanish whose upstream lives, and counts on for a
	// while. The users count only what a store has taken that was well.
	if c.ends && !s.storeWell() {
		return
	}
	s.changes = append(s.changes, c)
}

// storeWell tells whether the store has had no disruption for a while.
func (s *simSite) storeWell() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.disturbed[simStore]) >= simContact
}

// judge notes what nodes in touch should know and do not. Only what the store has
// taken while it was well counts.
func (s *simSite) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, n := range s.nodes {
		since := now.Add(simReserve)
		s.judgeForgotten(name, n)
		if since.Before(s.disturbed[name].Add(simContact)) {
			continue
		}
		storeWell := !since.Before(s.disturbed[simStore].Add(simContact))
		onlyReturned := !s.returned.IsZero() && !s.disturbed[simStore].After(s.returned)
		for _, c := range s.changes {
			// What is confirmed right after a return counts from then.
			if !storeWell && (!onlyReturned || c.version == 0 || c.at.Before(s.returned)) {
				continue
			}
			if c.undone || c.reported[name] || since.Before(c.at.Add(s.setting.within)) || n.knows(c) {
				continue
			}
			c.reported[name] = true
			s.missed = append(s.missed, fmt.Sprintf("at %d %s does not know %s%s of %d",
				now.Sub(s.began).Milliseconds(), name, c.upstream, versionText(c.version), c.at.Sub(s.began).Milliseconds()))
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
	s.net.change(func() {
		clear(s.net.frozen)
		clear(s.net.cut)
	})
	s.mu.Lock()
	nodes := s.nodes
	s.nodes, s.closed = make(map[string]*simNode), true
	s.mu.Unlock()
	for _, n := range nodes {
		n.end()
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
		s.end(n)
	}
	time.Sleep(longestFault)
}

// longestFault bounds how long an event lasts, and a call without an answer.
const longestFault = 30 * time.Second
