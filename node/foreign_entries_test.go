package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/wire"
)

// hugeNumber is a JSON number that no field can hold.
const hugeNumber = "1e9999999"

// Guards against a huge number in an entry or a report that ends the process, and again at each start.
func TestHugeNumberEndsNoNode(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	running := s.startNode("n1", s.storeAddress)
	running.awaitServing(t)
	s.store.Put("servers", "x1", []byte(`{"coldLeftMs":`+hugeNumber+`}`))
	reports := s.startEngineWithReport("e9", `{"sequence":1,"kvUsed":`+hugeNumber+`}`)
	started := s.startNode("n2", s.storeAddress, running.peerAddress)
	started.awaitServing(t)
	asked := reports.Load()
	await(t, "queries for the report by both nodes", func() bool { return reports.Load() >= asked+2 })
	for i, n := range []*testNode{running, started} {
		n.checkServesOnce(t, fmt.Sprint("s", i))
	}
}

// Guards against one odd entry of another writer that ends the nodes which read the list, again and again, or stops
// their following it: deeply nested, with a number too large, or with a port out of range.
func TestOddEntriesEndNoNode(t *testing.T) {
	t.Parallel()
	const nesting = 30_000
	at := func(address, slots string) string {
		return `{"service":"` + standin.SitePlainService + `","address":"` + address + `","zone":"dc","version":"v","slots":` + slots + `,"state":"ready","coldLeftMs":0,"sequence":1}`
	}
	for name, entry := range map[string]string{
		"nested": `{"a":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `}`, "nested objects": strings.Repeat(`{"a":`, nesting),
		"number": at("127.0.0.1:80", hugeNumber), "long number": at("127.0.0.1:80", strings.Repeat("9", nesting)), "negative": at("127.0.0.1:80", "-9223372036854775809"),
		"port": at("127.0.0.1:70000", "6"), "port 0": at("127.0.0.1:0", "6"), "longer port": at("127.0.0.1:99999", "6"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			running := s.startNode("n1", s.storeAddress)
			running.awaitServing(t)
			s.store.Put("servers", "x1", []byte(entry))
			started := s.startNode("n2", s.storeAddress, running.peerAddress)
			started.awaitServing(t)
			s.store.Put("servers", "x2", []byte(entry))
			for i, n := range []*testNode{running, started} {
				n.checkServes(t, fmt.Sprint("s", i))
			}
		})
	}
}

// startEngineWithReport starts an engine that answers every query for its report with a body, and
// returns the number of these queries.
func (s *site) startEngineWithReport(id, body string) *atomic.Int64 {
	var reports atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reports.Add(1)
		_, _ = io.WriteString(w, body)
	}))
	s.t.Cleanup(server.Close)
	engine := standin.NewChainEngine(id, server.Listener.Addr().String())
	s.startHeartbeat(id, func() *platformpb.Server { return engine.Entry("dc") })
	return &reports
}

// Guards against disruption by thousands of entries that other writers add and remove beside
// those of a few upstreams.
func TestServesBesideEntriesOfOtherWriters(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	const many = 2000
	for i := range many {
		s.store.Put("servers", fmt.Sprintf("x%d", i), []byte(`{"service":"desk","slots":"6"}`))
	}
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	for i := range 20 {
		s.store.Put("servers", fmt.Sprintf("x%d", i), fmt.Appendf(nil, `{"state":%d}`, i))
		s.store.Remove("servers", fmt.Sprintf("x%d", many-1-i))
		n.checkServesOnce(t, fmt.Sprint("s", i))
	}
}

// Guards against a judgement of entries by how many others say what: other writers may have written any
// number of them, with or without a start time, before a node starts.
func TestForeignEntriesOutvoteNoServer(t *testing.T) {
	t.Parallel()
	const engines = 4
	for _, serversTell := range []bool{true, false} {
		for _, service := range []string{"billing", standin.SitePlainService} {
			for _, count := range []int{0, 1, engines + 1, 10 * (engines + 1)} {
				t.Run(fmt.Sprintf("servers tell %v, %d of %s", serversTell, count, service), func(t *testing.T) {
					t.Parallel()
					var opts []standin.ServerOption
					if !serversTell {
						opts = append(opts, standin.WithoutStartTime())
					}
					s := newSite(t, engines, opts...)
					running := s.startNode("n1", s.storeAddress)
					running.awaitServing(t)
					for i := range count {
						s.store.Put("servers", fmt.Sprint("x", i), foreignEntry(service, !serversTell))
					}
					started := s.startNode("n2", s.storeAddress, running.peerAddress)
					started.awaitServing(t)
					running.stop()
					last := s.startNode("n3", s.storeAddress)
					last.awaitServing(t)
					for i, n := range []*testNode{started, last} {
						n.checkServes(t, fmt.Sprint("r", i))
					}
				})
			}
		}
	}
}

// foreignEntry returns an entry that is as valid as a server's, at an address where nobody listens.
func foreignEntry(service string, tellsStart bool) []byte {
	start := ""
	if tellsStart {
		start = `"born":1764720000123,`
	}
	return fmt.Appendf(nil, `{%s"service":%q,"address":"127.0.0.1:9","zone":"dc","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1}`, start, service)
}

// checkServes checks that a node serves streams and calls of the plain service.
func (n *testNode) checkServes(t *testing.T, prefix string) {
	t.Helper()
	const requests = 20
	for i := range requests {
		n.checkServesOnce(t, fmt.Sprint(prefix, i))
	}
}

// checkServesOnce checks that a node serves a stream and a call of the plain service.
func (n *testNode) checkServesOnce(t *testing.T, id string) {
	t.Helper()
	if got := n.do(http.MethodPost, "/write/"+id, id, "k1"); got.status != http.StatusOK || got.body != wholeStream("/write/"+id) {
		t.Errorf("got status %d, %v, want a whole stream", got.status, got.err)
	}
	if got := n.do(http.MethodPost, "/once/a", "o"+id, "k2"); got.status != http.StatusOK || got.body != standin.PlainAnswer("/once/a") {
		t.Errorf("got status %d, %v, want the plain service's answer", got.status, got.err)
	}
}

// Guards against registrations of nodes that do not exist, which other writers may have made in any number:
// the nodes that do must still have engines load layers, and serve.
func TestForgedRegistrationsDelayNoService(t *testing.T) {
	t.Parallel()
	for _, count := range []int{4, 40, 400} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			for i := range count {
				name := fmt.Sprintf("a%03d", i)
				s.putRow(t, "relay_nodes", name, &wire.Member{Name: name, DataCentre: "dc", Address: "127.0.0.1:9", UsageAddress: "127.0.0.1:9", Strength: 8})
			}
			for _, n := range s.startNodes(2) {
				n.awaitServing(t)
				n.checkServes(t, "f")
			}
		})
	}
}

// Guards against entries of engines that do not exist and name half of the layers, or one: the engines that do exist
// must still load layers, and requests must not end at those that do not.
func TestForeignEnginesDelayNoService(t *testing.T) {
	t.Parallel()
	for _, layers := range []string{`{"from":0,"targetVersion":6,"version":1}`, `{"from":0,"targetVersion":1,"version":1}`} {
		for _, count := range []int{1, 4, 40} {
			t.Run(fmt.Sprintf("%d with %s", count, layers), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 4)
				for i := range count {
					s.store.Put("servers", fmt.Sprint("x", i), foreignEngine(layers))
				}
				for _, n := range s.startNodes(2) {
					n.awaitServing(t)
					n.checkServes(t, "f")
				}
			})
		}
	}
}

// foreignEngine returns an entry that is as valid as an engine's, at an address where nobody listens.
func foreignEngine(layers string) []byte {
	return fmt.Appendf(nil, `{"born":1764720000123,"service":"writer","kind":"small","address":"127.0.0.1:9","zone":"dc","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"sequence":1,"layers":%s}`, layers)
}
