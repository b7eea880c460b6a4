package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

// makeListings returns the listings of n upstreams of one group.
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

func TestEjectedUpstreamRecoversGradually(t *testing.T) {
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
		t.Errorf("got limit %v after the ejection period, want the minimum limit for probing", u.Limit())
	}
	p.RecordSuccess(u, 5, 1)
	if got, want := u.Limit(), pool.DefaultLimits().Start; got != want || u.State() != "starting" {
		t.Errorf("got limit %v and state %s after a success, want %v and starting", got, u.State(), want)
	}
}

func TestSoftFailuresEjectAtMostHalfOfAGroup(t *testing.T) {
	p, _ := newPool(4)
	for i := range 4 {
		p.RecordFailure(10, p.Get(fmt.Sprintf("u%d", i)), true)
	}
	ejected := 0
	for _, u := range p.All() {
		if u.Ejected() {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("got %d of 4 upstreams ejected after soft failures, want 2", ejected)
	}
}

// TestGroupLimitIsSumOfMemberLimits compares the incrementally updated group
// limit with the sum over its members after random failures, successes, restarts,
// leaving marks and limit changes.
func TestGroupLimitIsSumOfMemberLimits(t *testing.T) {
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

func TestLimitConvergesToLatencyBound(t *testing.T) {
	p, _ := newPool(1)
	u := p.Get("u0")
	// The response time is 2 ms for each request in flight, so a bound of 40 ms
	// permits 20 requests at a time.
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
		t.Errorf("got limit %v, want between 13 and 20, near 18", u.Limit())
	}
}
