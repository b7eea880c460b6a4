package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/node"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// awaitTimeout bounds every wait of these tests. No measurement depends on it.
const awaitTimeout = 60 * time.Second

// site holds the stand-ins of a test, which run in the test's process.
type site struct {
	t            testing.TB
	store        *standin.RowStore
	storeAddress string
	engines      map[string]*engineProcess
	plainService *standin.PlainServer
	// serverOptions are the options of all upstreams.
	serverOptions []standin.ServerOption
	// stopPlainService stops the plain service, and waits until its entry is removed.
	stopPlainService func()
	// graceSeconds is how long a planned stop of a node may take.
	graceSeconds float64
	// leavesUnread makes nodes leave connections unread while they run late. Otherwise the result of a test
	// would depend on what else runs on its machine.
	leavesUnread bool
}

// engineProcess is an engine that can be killed.
type engineProcess struct {
	engine        *standin.ChainEngine
	server        *httptest.Server
	stopHeartbeat context.CancelFunc
}

// newSite starts a store, a plain service and engines in one data centre. The options are those of the
// plain service and the engines.
func newSite(t testing.TB, engines int, opts ...standin.ServerOption) *site {
	s := &site{t: t, store: standin.NewRowStore(), engines: make(map[string]*engineProcess), serverOptions: opts, graceSeconds: 8}
	server := httptest.NewServer(s.store.Handler())
	t.Cleanup(server.Close)
	s.storeAddress = server.Listener.Addr().String()
	s.store.Put("op", "config", standin.SiteConfig(1, "k1", "k2"))
	for i := range engines {
		s.startEngine(fmt.Sprintf("e%d", i+1))
	}
	s.startPlainService()
	return s
}

// serve serves another store and returns its address.
func (s *site) serve(store *standin.RowStore) string {
	server := httptest.NewServer(store.Handler())
	s.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (s *site) startEngine(id string) {
	server := httptest.NewUnstartedServer(nil)
	engine := standin.NewChainEngine(id, server.Listener.Addr().String(), s.serverOptions...)
	server.Config.Handler = engine.Handler()
	server.Start()
	s.engines[id] = &engineProcess{engine: engine, server: server, stopHeartbeat: s.startHeartbeat(id, func() *platformpb.Server { return engine.Entry("dc") })}
	s.t.Cleanup(func() { s.killEngine(id) })
}

func (s *site) startPlainService() {
	server := httptest.NewUnstartedServer(nil)
	s.plainService = standin.NewPlainServer("desk1", server.Listener.Addr().String(), time.Millisecond, s.serverOptions...)
	server.Config.Handler = s.plainService.Handler()
	server.Start()
	stop := s.startHeartbeat("desk1", func() *platformpb.Server { return s.plainService.Entry("dc") })
	s.stopPlainService = func() {
		stop()
		server.Close()
		await(s.t, "removal of the plain service's entry", func() bool { return !s.hasEntry("desk1") })
	}
	s.t.Cleanup(server.Close)
}

// addPlainService starts another plain service.
func (s *site) addPlainService(id string) *standin.PlainServer {
	return s.addSlowPlainService(id, time.Millisecond)
}

// addSlowPlainService starts another plain service that works on each request for a time.
func (s *site) addSlowPlainService(id string, work time.Duration) *standin.PlainServer {
	server := httptest.NewUnstartedServer(nil)
	service := standin.NewPlainServer(id, server.Listener.Addr().String(), work)
	server.Config.Handler = service.Handler()
	server.Start()
	s.startHeartbeat(id, func() *platformpb.Server { return service.Entry("dc") })
	s.t.Cleanup(server.Close)
	return service
}

// hasEntry reports whether the store has an upstream's entry.
func (s *site) hasEntry(id string) bool { return s.storeContains("servers", id) }

// storeContains reports whether a table of the store has a row that contains a text.
func (s *site) storeContains(table, text string) bool {
	resp, err := http.Get("http://" + s.storeAddress + "/rows-get?table=" + table)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return strings.Contains(string(body), `"table"`) && strings.Contains(string(body), text)
}

func (s *site) startHeartbeat(id string, entry func() *platformpb.Server) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	go standin.SendHeartbeats(ctx, s.storeAddress, id, entry)
	s.t.Cleanup(cancel)
	return cancel
}

// killEngine stops an engine at once, and closes its connections.
func (s *site) killEngine(id string) {
	e := s.engines[id]
	if e == nil {
		return
	}
	delete(s.engines, id)
	e.stopHeartbeat()
	e.server.CloseClientConnections()
	_ = e.server.Listener.Close()
	go e.server.Close()
}

// testNode is a running node and its addresses.
type testNode struct {
	*node.Node
	callerAddress    string
	readinessAddress string
	peerAddress      string
	done             chan error
	// stop stops the node at once.
	stop context.CancelFunc
}

// anyPort makes the kernel choose the port when the node listens: a port that is chosen earlier
// may be in use by then.
const anyPort = "127.0.0.1:0"

func (s *site) startNode(name, storeAddress string, seeds ...string) *testNode {
	s.t.Helper()
	return s.startNodeWith(name, storeAddress, nil, seeds...)
}

// startNodeWith starts a node with options.
func (s *site) startNodeWith(name, storeAddress string, opts []node.Option, seeds ...string) *testNode {
	s.t.Helper()
	n := s.newNode(name, storeAddress, opts, seeds...)
	n.run(s.t)
	return n
}

// newNode returns a node that listens and does not run yet.
func (s *site) newNode(name, storeAddress string, opts []node.Option, seeds ...string) *testNode {
	s.t.Helper()
	settings := &node.Settings{
		Name: name, DataCentre: "dc", LogLevel: "info", GraceSeconds: s.graceSeconds, Cores: 1, MemoryMB: 256,
		CallerListen: anyPort, ReadinessListen: anyPort, PeerListen: anyPort,
		MetricsListen: anyPort, UsageListen: anyPort, PeerSeeds: seeds, PlatformAddress: storeAddress,
		KeysFailClosed: true, KeysMaxAge: 5000, ConfigDeadline: 2000, LeavingDeadline: 2000, RetryWindowSeconds: 10, RetryShare: 0.2, RetrySlack: 200, ForwardedRequests: 128,
	}
	n, err := node.New(settings, logging.Nop(), opts...)
	if err != nil {
		s.t.Fatal(err)
	}
	if !s.leavesUnread {
		n.AcceptAllConnections()
	}
	return &testNode{Node: n, callerAddress: n.CallerAddress(), readinessAddress: n.ReadinessAddress(), peerAddress: n.PeerAddress(), done: make(chan error, 1)}
}

// run runs the node until it stops or the test ends.
func (n *testNode) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.Run(ctx) }()
	t.Cleanup(cancel)
}

func (n *testNode) ready() bool {
	resp, err := http.Get("http://" + n.readinessAddress + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// response is the response to a client.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

func (n *testNode) request(method, path, id, key string) *http.Request {
	req, err := http.NewRequest(method, "http://"+n.callerAddress+path, strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	req.Host = standin.SiteHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Remaining-Ms", "20000")
	req.Header.Set("Token-Count", "40,40")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return req
}

func (n *testNode) do(method, path, id, key string) response {
	return perform(n.request(method, path, id, key))
}

// perform sends a request on a new connection and reads the response.
func perform(r *http.Request) response {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

// await waits until a condition holds.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("got no %s in %v", what, awaitTimeout)
}

// awaitDiscovery waits until each node knows all others.
func awaitDiscovery(t *testing.T, nodes []*testNode) {
	t.Helper()
	for _, n := range nodes {
		await(t, "discovery of all nodes", func() bool { return n.PeerCount() == len(nodes)-1 })
	}
}

// awaitServing waits until a node serves streams.
func (n *testNode) awaitServing(t *testing.T) {
	t.Helper()
	i := 0
	await(t, "stream served", func() bool {
		i++
		return n.do(http.MethodPost, "/write/first", fmt.Sprintf("first-%d", i), "k1").status == http.StatusOK
	})
}

// wholeStream returns the complete response to a path.
func wholeStream(path string) string {
	var b strings.Builder
	for n := 1; n <= standin.SiteEventCount(path); n++ {
		b.WriteString(standin.SiteEvent(path, n))
	}
	return b.String()
}
