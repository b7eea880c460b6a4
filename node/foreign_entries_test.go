package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
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
		id := fmt.Sprint("s", i)
		if got := n.do(http.MethodPost, "/write/"+id, id, "k1"); got.status != http.StatusOK || got.body != wholeStream("/write/"+id) {
			t.Errorf("node %d: got status %d, %v, want a whole stream", i+1, got.status, got.err)
		}
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
		id := fmt.Sprint("s", i)
		if got := n.do(http.MethodPost, "/write/"+id, id, "k1"); got.status != http.StatusOK || got.body != wholeStream("/write/"+id) {
			t.Errorf("got status %d, %v, want a whole stream", got.status, got.err)
		}
		if got := n.do(http.MethodPost, "/once/a", "o"+id, "k2"); got.status != http.StatusOK || got.body != standin.PlainAnswer("/once/a") {
			t.Errorf("got status %d, %v, want the plain service's answer", got.status, got.err)
		}
	}
}
