package limit_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// upstreamOwnedBy returns an upstream that a node owns among each of some lists of nodes.
func upstreamOwnedBy(t *testing.T, owner string, lists ...[]string) fleet.Incarnation {
	for i := range 1000 {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprint("u", i)))
		owned := true
		for _, names := range lists {
			owned = owned && limit.Candidates(names, id)[0] == owner
		}
		if owned {
			return id
		}
	}
	t.Fatal("got no upstream that the node owns")
	return fleet.Incarnation{}
}

func members(names []string) []limit.Member {
	var list []limit.Member
	for _, name := range names {
		list = append(list, limit.Member{Name: name, DataCentre: "dc"})
	}
	return list
}

// Callers of limited upstreams were refused while allowance was left, for as long as nodes
// came and went: after each change of the list of nodes every owner handed out less than half
// for 2 s, also one that had been the owner before.
func TestOwnerGoesOnWhenOthersComeAndGo(t *testing.T) {
	const (
		rate        = 10.0
		usedAtLeast = 0.9
		lasts       = 8 * clock.Millis(1000)
		changes     = 1000
		asks        = 10
	)
	with, without := []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}
	upstream := upstreamOwnedBy(t, "a", with, without)
	k := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	k.SetMembers(0, members(with))
	start := clock.Millis(20_000)
	k.Named(start, upstream, rate)
	permits := 0
	for now := start; now < start.Add(lasts); now = now.Add(asks) {
		if now.Sub(start)%changes == 0 {
			list := with
			if now.Sub(start)%(2*changes) == 0 {
				list = without
			}
			k.SetMembers(now, members(list))
		}
		for _, name := range with {
			k.RecordSeen(now, name)
		}
		grant, _ := k.HandleAsk(now, "b", limit.Ask{
			Upstream: upstream, Life: 1, Number: uint64(now), Want: 1, Named: limit.Named{Rate: rate, ReceivedAt: start},
		})
		permits += grant.Permits
	}
	if got, want := float64(permits), usedAtLeast*rate*float64(lasts)/1000; got < want {
		t.Errorf("got %v permits of %v a second in %d ms, want %v at least", got, rate, lasts, want)
	}
}

// An upstream that named a limit got nothing for 20 s, and callers were refused all the while: a
// node that had just started, and did not hear the others yet, handed out a small part of the limit in an
// owner's place, and told that the next permit falls due after that time. The node that was
// told so asked nobody again meanwhile. A node asks again when one falls due by the limit itself.
func TestWordOfAPartBindsNoLongerThanTheLimit(t *testing.T) {
	const rate, soon = 0.5, clock.Millis(2200)
	names := []string{"a", "b", "c"}
	upstream := upstreamOwnedBy(t, "b", names)
	k := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	k.SetMembers(0, members(names))
	k.Named(0, upstream, rate)
	asks := k.Ask(10, upstream, 1)
	k.HandleGrant(12, "b", limit.Grant{Upstream: upstream, Life: 1, Number: asks[0].Ask.Number, NextIn: 60_000, Named: limit.Named{Rate: rate, ReceivedAt: 0}})
	if got, want := k.State(12+soon, upstream), limit.NeedsPermit; got != want {
		t.Errorf("got state %d after %d ms, want %d: a permit has fallen due", got, soon, want)
	}
}

// The end of a limit shows in the answer to a request. Where an upstream had named none at all a
// second, one request in 20 s was sent, and callers were refused for as long after its end.
func TestEndOfALimitOfNothingShowsInTime(t *testing.T) {
	const atMost = clock.Millis(5000)
	upstream := fleet.IncarnationByID("u")
	k := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	k.Named(0, upstream, 0)
	for now := clock.Millis(0); now <= atMost; now += 100 {
		k.Ask(now, upstream, 1)
		if k.State(now, upstream) == limit.HasPermit {
			return
		}
	}
	t.Errorf("got no permit in %d ms, want one", atMost)
}
