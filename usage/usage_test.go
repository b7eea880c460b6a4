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

// heard is what a node has been told.
type heard struct {
	from string
	msg  usage.Msg
	// placed is set where an order was told, and silent where a silent engine was.
	placed string
	layers fleet.Range
	silent string
	// lost and answered name the works of which that was told.
	lost     work.ID
	answered work.ID
	ask      limit.Ask
	grant    limit.Grant
}

// inbox notes what a node hears.
type inbox chan heard

func (i inbox) HearUse(from *wire.Member, msg usage.Msg) { i <- heard{from: from.GetName(), msg: msg} }

func (i inbox) HearPlaced(upstream fleet.Incarnation, layers fleet.Range, _ bool) {
	i <- heard{placed: upstream.String(), layers: layers}
}

func (i inbox) HearSilent(from *wire.Member, upstream fleet.Incarnation) {
	i <- heard{from: from.GetName(), silent: upstream.String()}
}

func (i inbox) HearLost(id work.ID, upstream fleet.Incarnation) {
	i <- heard{lost: id, from: upstream.String()}
}

func (i inbox) HearAsk(from *wire.Member, ask limit.Ask) { i <- heard{from: from.GetName(), ask: ask} }

func (i inbox) HearGrant(from *wire.Member, grant limit.Grant) {
	i <- heard{from: from.GetName(), grant: grant}
}

func (i inbox) HearAnswered(id work.ID) { i <- heard{answered: id} }

func newNode(t *testing.T, name string) (*usage.Sharing, inbox) {
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

	teller.Share(map[fleet.Incarnation]fleet.Use{fleet.Undated("e1"): {Memory: 5, Streams: 2}}, map[fleet.Incarnation]limit.Named{fleet.Undated("e1"): {Rate: 4.5}})
	got := <-nearHeard
	if got.from != "a" || !got.msg.Followable || got.msg.Total || got.msg.Used[fleet.Undated("e1")] != (fleet.Use{Memory: 5, Streams: 2}) {
		t.Errorf("got %+v, want what a has in use", got)
	}
	if named := got.msg.Limits[fleet.Undated("e1")]; named.Rate != 4.5 || named.ReceivedAt == clock.Never {
		t.Errorf("got the limit %+v, want one of 4.5", named)
	}

	teller.ShareTotal(map[fleet.Incarnation]fleet.Use{fleet.Undated("e1"): {Memory: 50, Streams: 2}}, 3, nil)
	got = <-farHeard
	if !got.msg.Total || got.msg.Nodes != 3 || !maps.Equal(got.msg.Used, map[fleet.Incarnation]fleet.Use{fleet.Undated("e1"): {Memory: 50, Streams: 2}}) {
		t.Errorf("got %+v, want a total of 50", got)
	}

	teller.Placed(fleet.Undated("e3"), fleet.Range{From: 4, To: 8}, true)
	for _, heard := range []inbox{nearHeard, farHeard} {
		if got := <-heard; got.placed != "e3" || got.layers != (fleet.Range{From: 4, To: 8}) {
			t.Errorf("got %+v, want the order to e3", got)
		}
	}

	teller.Silent(fleet.Undated("e4"))
	for {
		got := <-nearHeard
		if got.placed != "" {
			// An order is told more than once.
			continue
		}
		if got.from != "a" || got.silent != "e4" {
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
	want := limit.Ask{Upstream: fleet.Undated("e1"), Life: 9, Number: 7, Want: 3, Named: limit.Named{Rate: 4.5, ReceivedAt: clock.Never}, Sent: []uint32{0, 2}}
	asker.Ask(limit.AskCmd{To: "b", Ask: want})
	got := <-ownerHeard
	if got.from != "a" || !reflect.DeepEqual(got.ask.Sent, want.Sent) || got.ask.Upstream != want.Upstream || got.ask.Number != want.Number ||
		got.ask.Life != want.Life || got.ask.Want != want.Want || got.ask.Named.ReceivedAt != clock.Never {
		t.Errorf("got %+v from %s, want %+v", got.ask, got.from, want)
	}

	grant := limit.Grant{Upstream: fleet.Undated("e1"), Life: 9, Number: 7, Permits: 2, NextIn: 40, Queue: 5}
	owner.Give("a", grant)
	back := <-askerHeard
	back.grant.Named = limit.Named{}
	if back.from != "b" || back.grant != grant {
		t.Errorf("got %+v from %s, want %+v", back.grant, back.from, grant)
	}
}
