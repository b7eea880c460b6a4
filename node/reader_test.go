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

// storeProxy passes one node's calls on to the store, and counts them.
type storeProxy struct {
	store http.Handler
	calls atomic.Int64
}

func (f *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	f.store.ServeHTTP(w, r)
}

// startStoreProxy starts a front of the site's store, and returns its address.
func (s *site) startStoreProxy() (*storeProxy, string) {
	f := &storeProxy{store: s.store.Handler()}
	server := httptest.NewServer(f)
	s.t.Cleanup(server.Close)
	return f, server.Listener.Addr().String()
}

// isIdle tells whether a node leaves the store alone for longer than it would
// wait there itself.
func (f *storeProxy) isIdle() bool {
	before := f.calls.Load()
	time.Sleep(2500 * time.Millisecond)
	return f.calls.Load() == before
}

// Of six nodes of a data centre one reads the store for the others. When it ends
// they go on, and a key that is taken away then is refused everywhere.
func TestReaderDies(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	var nodes []*testNode
	var last *storeProxy
	for i := range 6 {
		front, address := s.startStoreProxy()
		nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i+1), address))
		last = front
	}
	for _, n := range nodes {
		n.awaitServing(t)
	}
	await(t, "node that leaves the store to another", last.isIdle)

	nodes[0].stop()
	if err := <-nodes[0].done; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v from the reader's end, want %v", err, context.Canceled)
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
