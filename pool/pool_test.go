package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

func makeListings(n int) []pool.Listing {
	var list []pool.Listing
	for i := range n {
		list = append(list, pool.Listing{Name: fmt.Sprintf("u%d", i), Group: "g", Incarnation: "1"})
	}
	return list
}

func newPool(n int) (*pool.Pool, *rand.Rand) {
	p := pool.New()
	p.Update(0, makeListings(n))
	return p, rand.New(rand.NewPCG(1, 1))
}

func TestEjectedUpstreamComesBackSlowly(t *testing.T) {
	p, rng := newPool(2)
	u := p.Get("u0")
	p.RecordFailure(10, u, false)
	for range 20 {
		if got, ok := p.Pick("g", rng); !ok || got == u {
			t.Fatalf("got %v %v, want the other upstream", got, ok)
		}
	}
	p.StartProbes(10 + pool.DefaultLimits().BaseEjection)
	if !u.HasCapacity() || u.Limit() != pool.DefaultLimits().Min {
		t.Errorf("got limit %v after the ejection, want one probe", u.Limit())
	}
	p.RecordSuccess(u, 5, 1)
	if got, want := u.Limit(), pool.DefaultLimits().Start; got != want || u.State() != "starting" {
		t.Errorf("got limit %v and state %s after a good answer, want %v and starting", got, u.State(), want)
	}
}

func TestSoftFailuresSpareHalfOfAGroup(t *testing.T) {
	p, _ := newPool(4)
	for i := range 4 {
		p.RecordFailure(10, p.Get(fmt.Sprintf("u%d", i)), true)
	}
	out := 0
	for _, u := range p.All() {
		if u.Ejected() {
			out++
		}
	}
	if out != 2 {
		t.Errorf("got %d of 4 ejected for being slow, want 2", out)
	}
}

// TestGroupLimitIsTheSumOfItsMembers goes through every way in which an
// upstream may come, go and change, and compares the running sum.
func TestGroupLimitIsTheSumOfItsMembers(t *testing.T) {
	p, rng := newPool(6)
	for now := clock.Millis(1); now < 3000; now++ {
		u := p.Get(fmt.Sprintf("u%d", rng.IntN(6)))
		switch rng.IntN(8) {
		case 0:
			p.RecordFailure(now, u, rng.IntN(2) == 0)
		case 1:
			p.RecordSuccess(u, 5, 1)
		case 2:
			p.StartProbes(now)
		case 3:
			list := makeListings(6)
			list[rng.IntN(6)].Incarnation = fmt.Sprint(now)
			p.Update(now, list)
		case 4:
			if rng.IntN(20) == 0 {
				p.MarkLeaving(u.Name(), "")
			}
		default:
			p.Begin(u)
			p.RecordChainTime(now*10, []*pool.Upstream{u}, clock.Millis(rng.IntN(60)), 30)
			p.End(u)
		}
		want := 0.0
		for _, m := range p.All() {
			if !m.Leaving() && !m.Ejected() {
				want += m.Limit()
			}
		}
		if got := p.Group("g").Limit(); got < want-0.001 || got > want+0.001 {
			t.Fatalf("at %d: got group limit %v, want %v", now, got, want)
		}
	}
}

func TestLimitSettlesWhereTheBoundIsMet(t *testing.T) {
	p, _ := newPool(1)
	u := p.Get("u0")
	// An upstream whose answers take 2 ms for each piece of work it has: at a
	// bound of 40 ms it holds 20 of them.
	now := clock.Millis(0)
	for range 400 {
		for u.HasCapacity() {
			p.Begin(u)
		}
		for range 20 {
			now += 8
			p.RecordChainTime(now, []*pool.Upstream{u}, clock.Millis(2*u.InFlight()), 40)
		}
		for u.InFlight() > 0 {
			p.End(u)
		}
	}
	if u.Limit() < 13 || u.Limit() > 20 {
		t.Errorf("got limit %v, want it near and under 18", u.Limit())
	}
}
