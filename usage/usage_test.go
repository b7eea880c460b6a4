package usage_test

import (
	"context"
	"maps"
	"reflect"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// received is what a node has been told.
type received struct {
	from string
	msg  usage.Report
	// placement is set where an order was told, and silent where a silent engine was.
	placement    string
	layers       fleet.LayerRange
	unresponsive string
	// crashed and answered name the works of which that was told.
	crashed  work.ID
	answered work.ID
	ask      limit.Ask
	grant    limit.Grant
}

// inbox notes what a node hears.
type inbox chan received

func (i inbox) HearUse(from *wire.Member, msg usage.Report) {
	i <- received{from: from.GetName(), msg: msg}
}

func (i inbox) HearPlaced(upstream fleet.Incarnation, layers fleet.LayerRange, _ bool) {
	i <- received{placement: upstream.String(), layers: layers}
}

func (i inbox) HearSilent(from *wire.Member, upstream fleet.Incarnation) {
	i <- received{from: from.GetName(), unresponsive: upstream.String()}
}

func (i inbox) HearLost(id work.ID, upstream fleet.Incarnation) {
	i <- received{crashed: id, from: upstream.String()}
}

func (i inbox) HearAsk(from *wire.Member, ask limit.Ask) {
	i <- received{from: from.GetName(), ask: ask}
}

func (i inbox) HearGrant(from *wire.Member, grant limit.Grant) {
	i <- received{from: from.GetName(), grant: grant}
}

func (i inbox) HearAnswered(id work.ID) { i <- received{answered: id} }

func newNode(t *testing.T, name string) (*usage.Exchange, inbox) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	heard := make(inbox, 16)
	s, err := usage.New(ctx, &wire.Member{Name: name}, "127.0.0.1:0", zap.NewNop(), func() bool { return true }, heard)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(ctx) }()
	return s, heard
}

func TestNodesTellEachOther(t *testing.T) {
	teller, _ := newNode(t, "a")
	near, nearHeard := newNode(t, "b")
	far, farHeard := newNode(t, "c")
	teller.SetPeers([]string{near.Address()}, []string{far.Address()})

	teller.SendUsage(map[fleet.Incarnation]fleet.EngineUsage{fleet.IncarnationByID("e1"): {Memory: 5, Streams: 2}}, map[fleet.Incarnation]limit.Named{fleet.IncarnationByID("e1"): {Rate: 4.5}})
	got := <-nearHeard
	if got.from != "a" || !got.msg.Followable || got.msg.Total || got.msg.Used[fleet.IncarnationByID("e1")] != (fleet.EngineUsage{Memory: 5, Streams: 2}) {
		t.Errorf("got %+v, want what a has in use", got)
	}
	if named := got.msg.Limits[fleet.IncarnationByID("e1")]; named.Rate != 4.5 || named.ReceivedAt == clock.Never {
		t.Errorf("got the limit %+v, want one of 4.5", named)
	}

	teller.SendDataCentreTotal(map[fleet.Incarnation]fleet.EngineUsage{fleet.IncarnationByID("e1"): {Memory: 50, Streams: 2}}, 3, nil)
	got = <-farHeard
	if !got.msg.Total || got.msg.Nodes != 3 || !maps.Equal(got.msg.Used, map[fleet.Incarnation]fleet.EngineUsage{fleet.IncarnationByID("e1"): {Memory: 50, Streams: 2}}) {
		t.Errorf("got %+v, want a total of 50", got)
	}

	teller.SendPlacement(fleet.IncarnationByID("e3"), fleet.LayerRange{From: 4, To: 8}, true)
	for _, heard := range []inbox{nearHeard, farHeard} {
		if got := <-heard; got.placement != "e3" || got.layers != (fleet.LayerRange{From: 4, To: 8}) {
			t.Errorf("got %+v, want the order to e3", got)
		}
	}

	teller.Silent(fleet.IncarnationByID("e4"))
	for {
		got := <-nearHeard
		if got.placement != "" {
			// An order is told more than once.
			continue
		}
		if got.from != "a" || got.unresponsive != "e4" {
			t.Errorf("got %+v, want a's word on e4", got)
		}
		break
	}
}

func TestPermitsAreAskedForAndGiven(t *testing.T) {
	asker, askerHeard := newNode(t, "a")
	owner, ownerHeard := newNode(t, "b")
	asker.SetAddresses(map[string]string{"b": owner.Address()})
	owner.SetAddresses(map[string]string{"a": asker.Address()})

	asker.Ask(limit.AskCmd{To: "nobody", Ask: limit.Ask{Number: 6}})
	want := limit.Ask{Upstream: fleet.IncarnationByID("e1"), Life: 9, Number: 7, Want: 3, Named: limit.Named{Rate: 4.5, ReceivedAt: clock.Never}, Sent: []uint32{0, 2}}
	asker.Ask(limit.AskCmd{To: "b", Ask: want})
	got := <-ownerHeard
	if got.from != "a" || !reflect.DeepEqual(got.ask.Sent, want.Sent) || got.ask.Upstream != want.Upstream || got.ask.Number != want.Number ||
		got.ask.Life != want.Life || got.ask.Want != want.Want || got.ask.Named.ReceivedAt != clock.Never {
		t.Errorf("got %+v from %s, want %+v", got.ask, got.from, want)
	}

	grant := limit.Grant{Upstream: fleet.IncarnationByID("e1"), Life: 9, Number: 7, Permits: 2, NextIn: 40, Queue: 5}
	owner.SendPermitGrant("a", grant)
	back := <-askerHeard
	back.grant.Named = limit.Named{}
	if back.from != "b" || back.grant != grant {
		t.Errorf("got %+v from %s, want %+v", back.grant, back.from, grant)
	}
}
