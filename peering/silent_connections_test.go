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
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
)

// testNode is a node that has a configuration, and learns how fresh it is.
type testNode struct {
	mu        sync.Mutex
	confirmed clock.Millis
	// store is the clock of a node that has the store; nil for one that lost it.
	store *clock.Clock
}

func (k *testNode) Config() follow.ActiveConfig {
	inForce := follow.ActiveConfig{Edition: catalog.New(1).Edition(), Raw: []byte("c")}
	if k.store != nil {
		inForce.Confirmed = k.store.Now()
		return inForce
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	inForce.Confirmed = k.confirmed
	return inForce
}

func (k *testNode) LearnConfig(_ catalog.Edition, _ []byte, confirmed clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = max(k.confirmed, confirmed)
}

func (*testNode) Fleet() ([]fleet.Upstream, bool) {
	return []fleet.Upstream{{ID: fleet.IncarnationByID("u")}}, true
}
func (*testNode) Listed() bool                     { return true }
func (*testNode) LearnFleet([]fleet.Upstream)      {}
func (*testNode) LearnMembers([]*wire.Member, int) {}

func (*testNode) Quarantined() []dispatch.Quarantined     { return nil }
func (*testNode) LearnQuarantined([]dispatch.Quarantined) {}

// slowPeers are nodes that have the store and may be slow to answer.
type slowPeers struct {
	network *pipenet.Network
	slow    atomic.Bool
	seeds   []string
}

// slowAnswer is how long a slow node takes: three rounds of questions overlap.
const slowAnswer = 480 * time.Millisecond

func startSlowPeers(t *testing.T, c *clock.Clock, count int) *slowPeers {
	t.Helper()
	s := &slowPeers{network: pipenet.New()}
	s.slow.Store(true)
	for i := range count {
		address := fmt.Sprintf("p%d:80", i)
		s.seeds = append(s.seeds, address)
		self := &wire.Member{Name: address, Address: address}
		_, handler := peering.New(self, nil, nil, &testNode{store: c}, &testNode{}, c, zap.NewNop(), nil, 1).Handler()
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

// A node that has lost the store asks others how fresh its configuration is. While they
// were slow several connections to each had been made; these were kept and went silent
// for good, round after round of questions was lost on them, and the configuration got
// too old for requests with keys.
func TestProofAfterSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		peers := startSlowPeers(t, c, 3)
		transport := platform.NewOneShotTransport()
		transport.DialContext = peers.network.DialContext
		t.Cleanup(transport.CloseIdleConnections)
		asker := &testNode{}
		p := peering.New(&wire.Member{Name: "asker", Address: "asker:80"}, peers.seeds, nil, asker, asker, c, zap.NewNop(), transport, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if err := p.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("got %v at the end, want the end of its context", err)
			}
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
		time.Sleep(5 * time.Second)
		peers.slow.Store(false)
		peers.network.Mute()
		oldest := clock.Millis(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, c.Now().Sub(asker.Config().Confirmed))
		}
		// Keys may be 5 s old, less the 0.7 s from a decision to its write.
		const keysWithin clock.Millis = 4300
		if oldest > keysWithin {
			t.Errorf("got a proof that was %d ms old, want %d at most", oldest, keysWithin)
		}
	})
}
