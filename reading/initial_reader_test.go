package reading_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// newStartingNode returns the roster of a node that starts at 0, with two nodes of several times
// its capacity and one of its own.
func newStartingNode() *reading.Roster {
	r := reading.NewRoster(&wire.Member{Name: "n", Strength: 2}, 0, 0)
	r.SetGroup([]*wire.Member{{Name: "big-1", Strength: 32}, {Name: "big-2", Strength: 32}, {Name: "small", Strength: 2}})
	return r
}

// Guards against nodes that wait for the VM of one reader to start while another one is running.
// At a common start of 81 nodes, 44 waited 400 ms for a connection, and then read from the other
// reader within 20 ms.
func TestInitialReaderChangesWhileUnreachable(t *testing.T) {
	r := newStartingNode()
	chosen := func(now clock.Millis) string {
		m, pending := r.InitialReader(now)
		if pending {
			t.Fatalf("at %d: got no reader yet, want one", now)
		}
		return m.GetName()
	}
	first := chosen(0)
	for now := clock.Millis(100); now < 600; now += 100 {
		before := chosen(now)
		// The reads of the configuration and of the list fail at the same time.
		r.InitialReaderUnreachable(now, before)
		r.InitialReaderUnreachable(now, before)
		if got := chosen(now); got == before || got == "" {
			t.Fatalf("at %d: got %q after %q was unreachable, want the other reader", now, got, before)
		}
	}
	if got := chosen(599); got == first {
		t.Errorf("got %q after five changes, want the other reader", got)
	}
	// Checks that a node reads the store no later than it did with one attempt for each reader,
	// the first of which lasted 400 ms and the second 250 ms.
	r.InitialReaderUnreachable(600, chosen(600))
	if got := chosen(600); got != "" {
		t.Errorf("got reader %q after 600 ms without a connection, want the store", got)
	}
}

// Checks that a reader which answers with an error is not asked again at once.
func TestFailedInitialReaderIsNotAskedAgain(t *testing.T) {
	r := newStartingNode()
	first, _ := r.InitialReader(0)
	r.ReaderFailed(10, first.GetName())
	second, _ := r.InitialReader(10)
	r.InitialReaderUnreachable(110, second.GetName())
	if got, _ := r.InitialReader(110); got.GetName() != second.GetName() || second.GetName() == first.GetName() {
		t.Errorf("got readers %q, %q and %q, want the second one again", first.GetName(), second.GetName(), got.GetName())
	}
}
