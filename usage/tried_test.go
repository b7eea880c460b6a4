package usage_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Near and far peers are told of requests that were lost, and of those that were answered.
func TestTellsWhatBecameOfRequests(t *testing.T) {
	teller, _ := newNode(t, "a")
	near, nearHeard := newNode(t, "b")
	far, farHeard := newNode(t, "c")
	teller.SetPeers([]string{near.Address()}, []string{far.Address()})
	lost, answered := work.ID{}.ForAccount("lost"), work.ID{}.ForAccount("answered")
	teller.SendCrash(lost, fleet.NewIncarnation("e1", 17))
	for _, heard := range []inbox{nearHeard, farHeard} {
		if got, want := <-heard, "e1@17"; got.crashed != lost || got.from != want {
			t.Errorf("got %+v, want a loss at %s", got, want)
		}
	}
	teller.SendAnswered(answered)
	for _, heard := range []inbox{nearHeard, farHeard} {
		got := <-heard
		for got.crashed == lost {
			// A loss is told more than once.
			got = <-heard
		}
		if got.answered != answered {
			t.Errorf("got %+v, want the answer", got)
		}
	}
}
