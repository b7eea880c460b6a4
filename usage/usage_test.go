package usage_test

import (
	"context"
	"maps"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

// heard is what a node has been told.
type heard struct {
	from string
	msg  usage.Msg
	// placed is set where an order was told.
	placed string
	layers fleet.Range
}

func newNode(t *testing.T, name string) (*usage.Sharing, chan heard) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	inbox := make(chan heard, 16)
	s, err := usage.New(ctx, &wire.Member{Name: name}, "127.0.0.1:0", zap.NewNop(), func() bool { return true },
		func(from *wire.Member, msg usage.Msg) { inbox <- heard{from: from.GetName(), msg: msg} },
		func(upstream string, layers fleet.Range, _ bool) { inbox <- heard{placed: upstream, layers: layers} })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(ctx) }()
	return s, inbox
}

func TestNodesTellEachOther(t *testing.T) {
	teller, _ := newNode(t, "a")
	near, nearHeard := newNode(t, "b")
	far, farHeard := newNode(t, "c")
	teller.SetPeers([]string{near.Address()}, []string{far.Address()})

	teller.Share(map[string]float64{"e1": 5})
	got := <-nearHeard
	if got.from != "a" || !got.msg.Followable || got.msg.Total || got.msg.Used["e1"] != 5 {
		t.Errorf("got %+v, want what a has in use", got)
	}

	teller.ShareTotal(map[string]float64{"e1": 50})
	got = <-farHeard
	if !got.msg.Total || !maps.Equal(got.msg.Used, map[string]float64{"e1": 50}) {
		t.Errorf("got %+v, want a total of 50", got)
	}

	teller.Placed("e3", fleet.Range{From: 4, To: 8}, true)
	for _, inbox := range []chan heard{nearHeard, farHeard} {
		if got := <-inbox; got.placed != "e3" || got.layers != (fleet.Range{From: 4, To: 8}) {
			t.Errorf("got %+v, want the order to e3", got)
		}
	}
}
