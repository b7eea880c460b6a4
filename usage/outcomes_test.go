package usage_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Crashes and answers are sent to the peers of this data centre and of others.
func TestOutcomesReachAllPeers(t *testing.T) {
	sender, _ := newNode(t, "a")
	near, nearInbox := newNode(t, "b")
	far, farInbox := newNode(t, "c")
	sender.SetPeers([]string{near.Address()}, []string{far.Address()})
	crashed, answered := work.ID{}.ForAccount("lost"), work.ID{}.ForAccount("answered")
	sender.SendCrash(crashed, fleet.NewIncarnation("e1", 17))
	for _, inbox := range []inbox{nearInbox, farInbox} {
		if got, want := <-inbox, "e1@17"; got.crashed != crashed || got.from != want {
			t.Errorf("got %+v, want a crash of %s", got, want)
		}
	}
	sender.SendAnswered(answered)
	for _, inbox := range []inbox{nearInbox, farInbox} {
		got := <-inbox
		for got.crashed == crashed {
			// A crash is sent more than once.
			got = <-inbox
		}
		if got.answered != answered {
			t.Errorf("got %+v, want the answered request", got)
		}
	}
}
