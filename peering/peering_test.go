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
	"github.com/hoistjunction/hoistjunction/wire"
)

// fakeNode is what a node knows, and what it has learnt.
type fakeNode struct {
	raw       []byte
	version   uint64
	confirmed clock.Millis
	list      []fleet.Upstream
	listValid bool

	// listReads counts questions for the list.
	listReads atomic.Int32
	// received is told what has been learnt of the configuration; nil for nobody.
	received          chan string
	receivedRaw       string
	receivedConfirmed clock.Millis
	receivedList      []fleet.Upstream
	// quarantined are told to others, and receivedQuarantined was learnt of them.
	quarantined         []dispatch.Quarantined
	receivedQuarantined []dispatch.Quarantined
	others              int
	memberReports       int
	rank                int
}

func (f *fakeNode) Config() follow.ActiveConfig {
	return follow.ActiveConfig{Edition: edition(f.version), Raw: f.raw, Confirmed: f.confirmed}
}

// edition is one of a version, none for 0.
func edition(version uint64) catalog.Edition { return catalog.New(version).Edition() }

func (f *fakeNode) Fleet() ([]fleet.Upstream, bool) {
	f.listReads.Add(1)
	return f.list, f.listValid
}
func (f *fakeNode) Listed() bool { return len(f.list) > 0 || len(f.receivedList) > 0 }
func (f *fakeNode) LearnConfig(_ catalog.Edition, raw []byte, confirmed clock.Millis) {
	f.receivedRaw, f.receivedConfirmed = string(raw), confirmed
	if f.received != nil {
		f.received <- string(raw)
	}
}
func (f *fakeNode) Quarantined() []dispatch.Quarantined          { return f.quarantined }
func (f *fakeNode) LearnQuarantined(list []dispatch.Quarantined) { f.receivedQuarantined = list }
func (f *fakeNode) LearnFleet(list []fleet.Upstream)             { f.receivedList = list }
func (f *fakeNode) LearnMembers(others []*wire.Member, rank int) {
	f.others, f.rank = len(others), rank
	f.memberReports++
}

func newFakePeer(t *testing.T, name string, node *fakeNode, c *clock.Clock) (*Peering, *wire.Member) {
	t.Helper()
	self := &wire.Member{Name: name, DataCentre: "dc"}
	p := New(self, nil, nil, node, node, c, zap.NewNop(), http.DefaultTransport, 1)
	_, handler := p.Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	self.Address = server.Listener.Addr().String()
	return p, self
}

// A peer's word counts from the moment at which it was asked for, less the age
// that the peer gives; never from when it arrived.
func TestConfirmedCountsFromTheQuestion(t *testing.T) {
	tests := []struct {
		sent, age, want clock.Millis
	}{{1000, 0, 1000}, {1000, 300, 700}, {50, 4000, -3950}}
	for _, tt := range tests {
		if got := confirmedAt(tt.sent, &wire.AskResponse{AgeMs: int64(tt.age)}); got != tt.want {
			t.Errorf("got %d for age %d asked at %d, want %d", got, tt.age, tt.sent, tt.want)
		}
	}
}

func TestAskLearnsWhatIsNewer(t *testing.T) {
	c := clocktest.NewClock()
	knowing := &fakeNode{raw: []byte("v7"), version: 7, confirmed: c.Now(), list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, listValid: true}
	_, peer := newFakePeer(t, "a", knowing, c)
	asking := &fakeNode{version: 5, confirmed: -9000}
	p, _ := newFakePeer(t, "b", asking, c)
	p.query(context.Background(), peer, edition(5), true)
	if got, want := asking.receivedRaw, "v7"; got != want {
		t.Errorf("got configuration %q, want %q", got, want)
	}
	if got := asking.receivedConfirmed; got > c.Now() || got < knowing.confirmed-c.Now() {
		t.Errorf("got confirmed at %d, want no later than now", got)
	}
	if got, want := len(asking.receivedList), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
	if got, want := asking.others, 1; got != want {
		t.Errorf("got %d other nodes, want %d", got, want)
	}
	if got, want := asking.rank, 1; got != want {
		t.Errorf("got rank %d, want %d", got, want)
	}
}

// A node whose peer knew the configuration before it knew the list goes on
// asking for the list.
func TestNeeds(t *testing.T) {
	tests := []struct {
		name    string
		list    []fleet.Upstream
		version uint64
		now     clock.Millis
		age     clock.Millis
		want    bool
	}{
		{"just started", nil, 0, startupWait - 1, 0, false},
		{"nothing from the store", nil, 0, startupWait, 0, true},
		{"no list yet", nil, 3, startupWait, 200, true},
		{"all known and fresh", []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, 3, 9000, queryAfter - 1, false},
		{"the proof gets old", []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, 3, 9000, queryAfter, true},
	}
	for _, tt := range tests {
		node := &fakeNode{list: tt.list}
		p, _ := newFakePeer(t, "a", node, clocktest.NewClock())
		if got := p.needsPeers(tt.now, edition(tt.version), tt.age); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A node that has a list, and whose peers vouch for its configuration, still asks
// for the list again: the one that it has may be a part of the whole.
func TestWantsFleetAgain(t *testing.T) {
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

// A peer that is behind, or has nothing, proves nothing.
func TestAskIgnoresWhatProvesNothing(t *testing.T) {
	c := clocktest.NewClock()
	for name, behind := range map[string]*fakeNode{
		"older":   {raw: []byte("v4"), version: 4, confirmed: 0},
		"nothing": {},
	} {
		_, peer := newFakePeer(t, "a", behind, c)
		asking := &fakeNode{version: 5, confirmed: -9000, receivedConfirmed: -1}
		p, _ := newFakePeer(t, "b", asking, c)
		p.query(context.Background(), peer, edition(5), false)
		if got, want := asking.receivedConfirmed, clock.Millis(-1); got != want {
			t.Errorf("%s: got confirmed at %d, want nothing learnt", name, got)
		}
	}
}

// A peer that cannot vouch for its list does not pass it on.
func TestAskPassesOnNoDoubtfulList(t *testing.T) {
	c := clocktest.NewClock()
	_, peer := newFakePeer(t, "a", &fakeNode{version: 5, confirmed: 0, list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}}, c)
	asking := &fakeNode{version: 5, confirmed: -9000}
	p, _ := newFakePeer(t, "b", asking, c)
	p.query(context.Background(), peer, edition(5), true)
	if got := asking.receivedList; got != nil {
		t.Errorf("got list %v, want none", got)
	}
}

// A node that has started may have read the store's copy. It compares once what it has read with
// its peers, who remember more; at the first start of the whole system there is nobody to ask.
func TestNewNodeComparesWithItsPeers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first bool
		want  string
	}{{"a start among others", false, "v7"}, {"the first start of all", true, ""}} {
		c := clocktest.NewClock()
		knowing := &fakeNode{raw: []byte("v7"), version: 7, confirmed: c.Now()}
		_, peer := newFakePeer(t, "a", knowing, c)
		learnt := make(chan string, 1)
		asking := &fakeNode{version: 5, confirmed: c.Now(), list: []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}, received: learnt}
		p, _ := newFakePeer(t, "b", asking, c)
		p.firstStart = tt.first
		p.addMembers(peer)
		p.queryIfNeeded(t.Context())
		if p.comparedConfig == tt.first {
			t.Errorf("%s: got compared=%v, want %v", tt.name, p.comparedConfig, !tt.first)
		}
		if tt.first {
			continue
		}
		if got := <-learnt; got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
		if got := knowing.listReads.Load(); got != 0 {
			t.Errorf("%s: got the list asked for %d times, want the configuration alone", tt.name, got)
		}
		if p.needsComparison(edition(5)) {
			t.Errorf("%s: got a node that compares again, want once", tt.name)
		}
	}
}
