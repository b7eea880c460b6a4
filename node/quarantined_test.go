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

// Nodes that know the same tell the same, in whatever order they have learnt it; a node
// that was cut off sees that a peer knows other requests, and asks it, less and less often
// while that brings nothing.
func TestNodesCompareWhatIsQuarantined(t *testing.T) {
	vm := clocktest.NewVM()
	c := clock.New(clock.WithVM(vm))
	knows := func(list ...dispatch.Quarantined) *quarantineSet {
		q := newQuarantineSet(c, 60_000)
		q.addConfirmed(list)
		return q
	}
	thinks := func(q *quarantineSet, list ...dispatch.Quarantined) *quarantineSet {
		for _, w := range list {
			q.add(w)
		}
		return q
	}
	a, b := dispatch.Quarantined{Work: work.ID{}.ForAccount("a")}, dispatch.Quarantined{Work: work.ID{}.ForAccount("b")}
	thought := dispatch.Quarantined{Work: b.Work, Ended: []fleet.Incarnation{fleet.IncarnationByID("e1")}}
	tests := []struct {
		name string
		one  *quarantineSet
		two  *quarantineSet
		same bool
	}{
		{"nothing", knows(), knows(), true},
		{"in another order", knows(a, b), knows(b, a), true},
		{"twice", knows(a, b, a), knows(a, b), true},
		{"one less", knows(a), knows(a, b), false},
		{"what others think", knows(a, thought), knows(a), true},
		{"less certain", thinks(knows(a), thought), knows(a, b), false},
		{"certain later", thinks(knows(a), thought, b), knows(a, b), true},
		{"expired", knows(a, dispatch.Quarantined{Work: b.Work, Age: 60_000}), knows(a), true},
	}
	for _, tt := range tests {
		if got := tt.one.digest() == tt.two.digest(); got != tt.same {
			t.Errorf("%s: got the same digest %v, want %v", tt.name, got, tt.same)
		}
	}
	expiring := knows(dispatch.Quarantined{Work: a.Work, Age: 59_000})
	before := expiring.digest()
	vm.Suspend(2 * time.Second)
	if got := expiring.digest(); got == before {
		t.Errorf("got the same digest %d after a request has expired", got)
	}
	cutOff, peer := knows(a), knows(a, b)
	if cutOff.shouldQuery(0) {
		t.Error("got a peer asked that knows of none, want it left alone")
	}
	asked := 0
	for range 600 {
		if cutOff.shouldQuery(peer.digest()) {
			asked++
		}
		vm.Suspend(clock.Millis(100).Duration())
	}
	// At once, and then after 0.6 s, 1.2 s and so on.
	if got, want := asked, 7; got != want {
		t.Errorf("got a peer asked %d times in a minute in vain, want %d", got, want)
	}
	cutOff.addConfirmed(peer.list())
	if cutOff.shouldQuery(peer.digest()) {
		t.Error("got a peer asked again that knows the same, want it left alone")
	}
}

// BenchmarkDigest measures what a peer's word costs where thousands of requests are known.
func BenchmarkDigest(b *testing.B) {
	q := newQuarantineSet(clocktest.NewClock(), 3_600_000)
	for i := range quarantine.MaxQuarantined {
		q.add(dispatch.Quarantined{Work: work.ID{byte(i), byte(i >> 8)}})
	}
	for b.Loop() {
		q.shouldQuery(1)
	}
}
