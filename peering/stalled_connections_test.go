package peering_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/internal/pipenet"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
)

// testNode is a node with a configuration. It records the newest confirmation from its peers.
type testNode struct {
	mu        sync.Mutex
	confirmed clock.Millis
	// store is the node's clock if it can reach the store; nil if it has lost it.
	store *clock.Clock
}

func (n *testNode) Config() follow.ActiveConfig {
	active := follow.ActiveConfig{Edition: catalog.New(1).Edition(), Raw: []byte("c")}
	if n.store != nil {
		active.Confirmed = n.store.Now()
		return active
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	active.Confirmed = n.confirmed
	return active
}

func (n *testNode) ReceiveConfig(_ catalog.Edition, _ []byte, confirmed clock.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = max(n.confirmed, confirmed)
}

func (*testNode) Fleet() ([]fleet.Upstream, bool) {
	return []fleet.Upstream{{ID: fleet.IncarnationByID("u")}}, true
}
func (*testNode) HasList() bool                            { return true }
func (*testNode) StoreEra() moment.Moment                  { return moment.Moment{} }
func (*testNode) ProvenIn() moment.Moment                  { return moment.Moment{} }
func (*testNode) ReceiveFleet([]fleet.Upstream)            {}
func (*testNode) ReceiveMembers([]*wire.Member, int, bool) {}

func (*testNode) Quarantined() []dispatch.Quarantined       { return nil }
func (*testNode) ReceiveQuarantined([]dispatch.Quarantined) {}

// slowPeers are nodes that can reach the store, and answer slowly while slow is set.
type slowPeers struct {
	network *pipenet.Network
	slow    atomic.Bool
	seeds   []string
}

// slowAnswer is the time that a slow node takes to answer. Three rounds of queries overlap.
const slowAnswer = 480 * time.Millisecond

func startSlowPeers(t *testing.T, c *clock.Clock, count int) *slowPeers {
	t.Helper()
	s := &slowPeers{network: pipenet.New()}
	s.slow.Store(true)
	for i := range count {
		address := fmt.Sprintf("p%d:80", i)
		s.seeds = append(s.seeds, address)
		self := &wire.Member{Name: address, Address: address}
		_, handler := peering.New(self, nil, nil, &testNode{store: c}, &testNode{}, c, zap.NewNop(), nil, 1, peering.WithFirstStart(true)).Handler()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.slow.Load() {
				time.Sleep(slowAnswer)
			}
			handler.ServeHTTP(w, r)
		})}
		listener := s.network.Listen(address)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return s
}

// Guards against losing the proof of freshness to stalled connections. While the peers are
// slow, a node that lost the store opens several connections to each. The connections are kept
// and then stall for good. If further rounds of queries were sent on them, all would be lost,
// and the configuration would become too old for requests with keys.
func TestProofAfterStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		peers := startSlowPeers(t, c, 3)
		transport := platform.NewOneShotTransport(platform.WithDialer(peers.network.DialContext))
		t.Cleanup(transport.CloseIdleConnections)
		node := &testNode{}
		p := peering.New(&wire.Member{Name: "asker", Address: "asker:80"}, peers.seeds, nil, node, node, c, zap.NewNop(), transport, 1)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := p.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("got error %v from Run, want context canceled", err)
			}
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
		time.Sleep(5 * time.Second)
		peers.slow.Store(false)
		peers.network.Blackhole()
		oldest := clock.Millis(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, c.Now().Sub(node.Config().Confirmed))
		}
		// Requests with keys need a configuration of at most 5 s of age, of which 0.7 s pass
		// between a decision and its write.
		const maxAge clock.Millis = 4300
		if oldest > maxAge {
			t.Errorf("got a proof of freshness of %d ms, want at most %d", oldest, maxAge)
		}
	})
}
