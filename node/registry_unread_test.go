package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
)

// registryGate passes calls on to a store, and refuses reads of the registry of nodes while it is closed.
type registryGate struct {
	store   http.Handler
	closed  atomic.Bool
	refused atomic.Int64
}

func (g *registryGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() && r.Method == http.MethodGet && r.URL.Query().Get("table") == "relay_nodes" {
		g.refused.Add(1)
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

// Guards against a node that takes a registry which it could not read for an empty one: nothing seems to
// vouch for an earlier era then, and the key that the copy of the store still has works. All nodes start
// beside a return of the store that none remembers. Either the store is away at first, or it answers but
// for the registry.
func TestNodesServeNoRevokedKeyBeforeRegistryIsRead(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		// away reports whether the whole store is away while the nodes start.
		away bool
	}{{"store away", true}, {"registry refused", false}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			gate := &registryGate{store: s.store.Handler()}
			server := httptest.NewServer(gate)
			t.Cleanup(server.Close)
			s.storeAddress = server.Listener.Addr().String()
			nodes := s.startVouchingNodes(t)
			s.store.Backup()
			s.store.Put("op", "config", standin.SiteConfig(9, "k2"))
			for _, n := range nodes {
				await(t, "new key in force", func() bool { return n.do(http.MethodPost, "/write/a", "probe", "k2").status == http.StatusOK })
				n.stop()
			}
			for _, n := range nodes {
				if err := <-n.done; !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want a node that was stopped", err)
				}
			}
			gate.closed.Store(true)
			if tt.away {
				s.store.SetFaults(standin.RowStoreFaults{Down: true})
			}
			started := s.startNodes(len(nodes))
			await(t, "reads of the registry that fail", func() bool { return gate.refused.Load() >= int64(len(nodes)) })
			s.store.Restore()
			s.store.SetFaults(standin.RowStoreFaults{})
			gate.closed.Store(!tt.away)
			// Requests wait for the comparison for up to 3 s after the start, so these are decided after it.
			for i := range 100 {
				n := started[i%len(started)]
				if got := n.do(http.MethodPost, fmt.Sprint("/write/r", i), fmt.Sprint("r", i), "k1"); got.status == http.StatusOK {
					t.Errorf("request %d with the revoked key: got status 200, want a refusal", i)
				}
				time.Sleep(10 * time.Millisecond)
			}
			gate.closed.Store(false)
			s.store.Put("op", "config", standin.SiteConfig(9, "k2"))
			for i, n := range started {
				await(t, "key that is in force", func() bool {
					return n.do(http.MethodPost, "/write/a", fmt.Sprint("p", i), "k2").status == http.StatusOK
				})
				if got := n.do(http.MethodPost, "/write/a", fmt.Sprint("q", i), "k1"); got.status != http.StatusUnauthorized {
					t.Errorf("node %d: got status %d with the revoked key, want 401", i, got.status)
				}
			}
		})
	}
}

// Guards against nodes that take themselves for the only one because the registry could not be read: each
// of them granted itself the whole limit of an upstream, and three sent three times as much.
func TestNodesWithoutRegistryKeepAdvertisedLimit(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	gate := &registryGate{store: s.store.Handler()}
	gate.closed.Store(true)
	server := httptest.NewServer(gate)
	t.Cleanup(server.Close)
	var nodes []*testNode
	for i := range 3 {
		nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i+1), server.Listener.Addr().String()))
	}
	for _, n := range nodes {
		n.awaitServing(t)
	}
	s.plainService.SetAdvertisedLimit(standin.LimitFaults{Advertised: fmt.Sprint(advertisedLimit)})
	sendRequests(t, nodes, http.MethodPost, "/once/")
	for _, b := range standin.LimitBreaches(s.plainService.ReceivedRequests(), nodeOfAttempt, limitGrace, noExemption) {
		t.Errorf("got %d requests in 4 s at an upstream that advertises %v a second, nodes %v, want at most %d", b.Count, b.Limit, b.RequestsByNode, b.Allowed)
	}
	gate.closed.Store(false)
	for i, n := range nodes {
		await(t, "answer once the registry is read", func() bool {
			return n.do(http.MethodPost, fmt.Sprint("/once/late", i), fmt.Sprint("late-", i), "k1").status == http.StatusOK
		})
	}
}
