package node_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// storeProxy forwards one node's calls to the store and counts them.
type storeProxy struct {
	store http.Handler
	calls atomic.Int64
}

func (f *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	f.store.ServeHTTP(w, r)
}

// startStoreProxy starts a proxy of the site's store, and returns its address.
func (s *site) startStoreProxy() (*storeProxy, string) {
	f := &storeProxy{store: s.store.Handler()}
	server := httptest.NewServer(f)
	s.t.Cleanup(server.Close)
	return f, server.Listener.Addr().String()
}

// isIdle reports whether a node makes no store call for longer than the store holds a call of
// its own reader.
func (f *storeProxy) isIdle() bool {
	before := f.calls.Load()
	time.Sleep(2500 * time.Millisecond)
	return f.calls.Load() == before
}

// One of six nodes of a data centre reads the store for the others. After it stops, the others
// must continue to serve and refuse a key that is revoked then.
func TestReaderStops(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	var nodes []*testNode
	var lastProxy *storeProxy
	for i := range 6 {
		proxy, address := s.startStoreProxy()
		nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i+1), address))
		lastProxy = proxy
	}
	for _, n := range nodes {
		n.awaitServing(t)
	}
	await(t, "node without store calls", lastProxy.isIdle)

	nodes[0].stop()
	if err := <-nodes[0].done; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v from the stopped reader, want %v", err, context.Canceled)
	}
	s.store.Put("op", "config", standin.SiteConfig(2, "k1"))
	for i, n := range nodes[1:] {
		await(t, "refusal of a revoked key", func() bool {
			return n.do(http.MethodPost, "/once/a", fmt.Sprintf("revoked-%d", i), "k2").status == http.StatusUnauthorized
		})
		if got, want := n.do(http.MethodPost, "/once/a", fmt.Sprintf("kept-%d", i), "k1").status, http.StatusOK; got != want {
			t.Errorf("node %d: got %d with the key that was kept, want %d", i+2, got, want)
		}
	}
}
