package node

import (
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// Nodes with the same quarantined requests must have the same digest, in whatever order the
// requests were added. A node that was cut off must detect that a peer has other requests, and
// query it with growing pauses while the answers bring nothing new.
func TestNodesCompareWhatIsQuarantined(t *testing.T) {
	vm := clocktest.NewVM()
	c := clock.New(clock.WithVM(vm))
	confirmed := func(list ...dispatch.Quarantined) *quarantineSet {
		q := newQuarantineSet(c, 60_000)
		q.addConfirmed(list)
		return q
	}
	withUnconfirmed := func(q *quarantineSet, list ...dispatch.Quarantined) *quarantineSet {
		for _, w := range list {
			q.add(w)
		}
		return q
	}
	a, b := dispatch.Quarantined{Work: work.ID{}.ForAccount("a")}, dispatch.Quarantined{Work: work.ID{}.ForAccount("b")}
	unconfirmed := dispatch.Quarantined{Work: b.Work, Ended: []fleet.Incarnation{fleet.IncarnationByID("e1")}}
	tests := []struct {
		name string
		one  *quarantineSet
		two  *quarantineSet
		same bool
	}{
		{"nothing", confirmed(), confirmed(), true},
		{"in another order", confirmed(a, b), confirmed(b, a), true},
		{"twice", confirmed(a, b, a), confirmed(a, b), true},
		{"one less", confirmed(a), confirmed(a, b), false},
		{"one more, unconfirmed", confirmed(a, unconfirmed), confirmed(a), true},
		{"unconfirmed and confirmed", withUnconfirmed(confirmed(a), unconfirmed), confirmed(a, b), false},
		{"confirmed later", withUnconfirmed(confirmed(a), unconfirmed, b), confirmed(a, b), true},
		{"expired", confirmed(a, dispatch.Quarantined{Work: b.Work, Age: 60_000}), confirmed(a), true},
	}
	for _, tt := range tests {
		if got := tt.one.digest() == tt.two.digest(); got != tt.same {
			t.Errorf("%s: got the same digest %v, want %v", tt.name, got, tt.same)
		}
	}
	expiring := confirmed(dispatch.Quarantined{Work: a.Work, Age: 59_000})
	before := expiring.digest()
	vm.Suspend(2 * time.Second)
	if got := expiring.digest(); got == before {
		t.Errorf("got the same digest %d after a request has expired", got)
	}
	cutOff, peer := confirmed(a), confirmed(a, b)
	if cutOff.shouldQuery(0) {
		t.Error("got a query to a peer without quarantined requests, want none")
	}
	queries := 0
	for range 600 {
		if cutOff.shouldQuery(peer.digest()) {
			queries++
		}
		vm.Suspend(clock.Millis(100).Duration())
	}
	// The queries are at the start, and then after 0.6 s, 1.2 s and so on.
	if got, want := queries, 7; got != want {
		t.Errorf("got %d queries to the peer in a minute, want %d", got, want)
	}
	cutOff.addConfirmed(peer.list())
	if cutOff.shouldQuery(peer.digest()) {
		t.Error("got a query to a peer with the same requests, want none")
	}
}

// BenchmarkDigest measures the comparison with a peer's digest with thousands of quarantined
// requests.
func BenchmarkDigest(b *testing.B) {
	q := newQuarantineSet(clocktest.NewClock(), 3_600_000)
	for i := range quarantine.MaxQuarantined {
		q.add(dispatch.Quarantined{Work: work.ID{byte(i), byte(i >> 8)}})
	}
	for b.Loop() {
		q.shouldQuery(1)
	}
}
