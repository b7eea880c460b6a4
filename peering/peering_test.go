package peering

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// fakeNode is a node with the given state, and records what it receives from peers.
type fakeNode struct {
	raw       []byte
	version   uint64
	confirmed clock.Millis
	list      []fleet.Upstream
	listValid bool

	// listReads counts queries for the list.
	listReads atomic.Int32
	// received gets each received configuration; nil to discard them.
	received          chan string
	receivedRaw       string
	receivedConfirmed clock.Millis
	receivedList      []fleet.Upstream
	// quarantined are the node's quarantined requests, and receivedQuarantined those received
	// from peers.
	quarantined         []dispatch.Quarantined
	receivedQuarantined []dispatch.Quarantined
	others              int
	memberReports       int
	membersComplete     bool
	rank                int
	// era is the begin of the newest known era of the store, which has shown the configuration.
	era moment.Moment
}

func (f *fakeNode) StoreEra() moment.Moment { return f.era }
func (f *fakeNode) ProvenIn() moment.Moment { return f.era }

func (f *fakeNode) Config() follow.ActiveConfig {
	return follow.ActiveConfig{Edition: edition(f.version), Raw: f.raw, Confirmed: f.confirmed}
}

// edition returns an edition of a version; the zero edition for 0.
func edition(version uint64) catalog.Edition { return catalog.New(version).Edition() }

func (f *fakeNode) Fleet() ([]fleet.Upstream, bool) {
	f.listReads.Add(1)
	return f.list, f.listValid
}
func (f *fakeNode) HasList() bool { return len(f.list) > 0 || len(f.receivedList) > 0 }
func (f *fakeNode) ReceiveConfig(_ catalog.Edition, raw []byte, confirmed clock.Millis) {
	f.receivedRaw, f.receivedConfirmed = string(raw), confirmed
	if f.received != nil {
		f.received <- string(raw)
	}
}
func (f *fakeNode) Quarantined() []dispatch.Quarantined            { return f.quarantined }
func (f *fakeNode) ReceiveQuarantined(list []dispatch.Quarantined) { f.receivedQuarantined = list }
func (f *fakeNode) ReceiveFleet(list []fleet.Upstream)             { f.receivedList = list }
func (f *fakeNode) ReceiveMembers(others []*wire.Member, rank int, complete bool) {
	f.others, f.rank, f.membersComplete = len(others), rank, complete
	f.memberReports++
}

func newFakePeer(t *testing.T, name string, node *fakeNode, c *clock.Clock) (*Peering, *wire.Member) {
	t.Helper()
	self := &wire.Member{Name: name, DataCentre: "dc"}
	p := New(self, nil, nil, node, node, c, zap.NewNop(), http.DefaultTransport, 1)
	p.comparison.done.Store(true)
	_, handler := p.Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	self.Address = server.Listener.Addr().String()
	return p, self
}

// The age in an answer counts from the time at which the query was sent, never from the time at
// which the answer arrived.
func TestConfirmedCountsFromSending(t *testing.T) {
	tests := []struct {
		sent, age, want clock.Millis
	}{{1000, 0, 1000}, {1000, 300, 700}, {50, 4000, -3950}}
	for _, tt := range tests {
		if got := confirmedAt(tt.sent, &wire.AskResponse{AgeMs: int64(tt.age)}); got != tt.want {
			t.Errorf("got confirmed at %d for age %d and sending at %d, want %d", got, tt.age, tt.sent, tt.want)
		}
	}
}

func TestQueryAppliesNewerState(t *testing.T) {
	c := clocktest.NewClock()
	peerNode := &fakeNode{raw: []byte("v7"), version: 7, confirmed: c.Now(), list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, listValid: true}
	_, peer := newFakePeer(t, "a", peerNode, c)
	node := &fakeNode{version: 5, confirmed: -9000}
	p, _ := newFakePeer(t, "b", node, c)
	p.query(context.Background(), peer, edition(5), true)
	if got, want := node.receivedRaw, "v7"; got != want {
		t.Errorf("got configuration %q, want %q", got, want)
	}
	if got := node.receivedConfirmed; got > c.Now() || got < peerNode.confirmed-c.Now() {
		t.Errorf("got confirmed at %d, want no later than now", got)
	}
	if got, want := len(node.receivedList), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
	if got, want := node.others, 1; got != want {
		t.Errorf("got %d other nodes, want %d", got, want)
	}
	if got, want := node.rank, 1; got != want {
		t.Errorf("got rank %d, want %d", got, want)
	}
}

// A node whose peer had the configuration before it had the list must query again for the list.
func TestNeedsPeers(t *testing.T) {
	tests := []struct {
		name    string
		list    []fleet.Upstream
		version uint64
		now     clock.Millis
		age     clock.Millis
		want    bool
	}{
		{"just started", nil, 0, startupWait - 1, 0, false},
		{"no answer from the store", nil, 0, startupWait, 0, true},
		{"no list yet", nil, 3, startupWait, 200, true},
		{"configuration and list present and fresh", []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, 3, 9000, queryAfter - 1, false},
		{"old proof of freshness", []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, 3, 9000, queryAfter, true},
	}
	for _, tt := range tests {
		node := &fakeNode{list: tt.list}
		p, _ := newFakePeer(t, "a", node, clocktest.NewClock())
		if got := p.needsPeers(tt.now, edition(tt.version), tt.age); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A node with a list must query it again even while peers confirm its configuration: the list
// may be incomplete.
func TestListIsQueriedAgain(t *testing.T) {
	node := &fakeNode{list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}}
	p, _ := newFakePeer(t, "a", node, clocktest.NewClock())
	steps := []struct {
		now  clock.Millis
		want bool
	}{{5000, true}, {5000 + listQueryInterval - 1, false}, {5000 + listQueryInterval, true}, {5100 + listQueryInterval, false}}
	for _, s := range steps {
		if got := p.needsList(s.now, queryAfter); got != s.want {
			t.Errorf("at %d: got %v, want %v", s.now, got, s.want)
		}
	}
}

// A peer with an older configuration, or none, does not prove freshness.
func TestQueryIgnoresOlderConfigurations(t *testing.T) {
	c := clocktest.NewClock()
	for name, peerNode := range map[string]*fakeNode{
		"older":   {raw: []byte("v4"), version: 4, confirmed: 0},
		"nothing": {},
	} {
		_, peer := newFakePeer(t, "a", peerNode, c)
		node := &fakeNode{version: 5, confirmed: -9000, receivedConfirmed: -1}
		p, _ := newFakePeer(t, "b", node, c)
		p.query(context.Background(), peer, edition(5), false)
		if got, want := node.receivedConfirmed, clock.Millis(-1); got != want {
			t.Errorf("%s: got confirmed at %d, want no update", name, got)
		}
	}
}

// A peer must not send a list that may be outdated.
func TestOutdatedListIsNotSent(t *testing.T) {
	c := clocktest.NewClock()
	_, peer := newFakePeer(t, "a", &fakeNode{version: 5, confirmed: 0, list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}}, c)
	node := &fakeNode{version: 5, confirmed: -9000}
	p, _ := newFakePeer(t, "b", node, c)
	p.query(context.Background(), peer, edition(5), true)
	if got := node.receivedList; got != nil {
		t.Errorf("got list %v, want none", got)
	}
}

// A node that has just started may have read a configuration from a backup that the store was
// restored from. It compares the configuration once with its peers, which remember newer ones.
// At the first start of the whole system there is no peer to query.
func TestStartedNodeComparesConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first bool
		want  string
	}{{"started beside running nodes", false, "v7"}, {"first start of the whole system", true, ""}} {
		c := clocktest.NewClock()
		peerNode := &fakeNode{raw: []byte("v7"), version: 7, confirmed: c.Now()}
		_, peer := newFakePeer(t, "a", peerNode, c)
		received := make(chan string, 1)
		node := &fakeNode{version: 5, confirmed: c.Now(), list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, received: received}
		p, _ := newFakePeer(t, "b", node, c)
		compared := make(chan struct{}, 1)
		p.comparison.done.Store(tt.first)
		p.comparison.onEnd = func() { compared <- struct{}{} }
		p.addMembers(peer)
		p.queryIfNeeded(t.Context())
		if tt.first {
			if p.needsComparison(edition(5)) {
				t.Errorf("%s: configuration is to be compared, want no comparison", tt.name)
			}
			continue
		}
		if got := <-received; got != tt.want {
			t.Errorf("%s: got configuration %q, want %q", tt.name, got, tt.want)
		}
		if got := peerNode.listReads.Load(); got != 0 {
			t.Errorf("%s: got %d queries for the list, want none", tt.name, got)
		}
		<-compared
		if p.needsComparison(edition(5)) {
			t.Errorf("%s: configuration is compared again, want once", tt.name)
		}
	}
}
