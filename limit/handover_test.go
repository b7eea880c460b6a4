package limit_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// upstreamOwnedBy returns an upstream that a node owns under each of some lists of nodes.
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
	t.Fatal("got no upstream that the node owns, want one")
	return fleet.Incarnation{}
}

func members(names []string) []limit.Member {
	var list []limit.Member
	for _, name := range names {
		list = append(list, limit.Member{Name: name, DataCentre: "dc"})
	}
	return list
}

// Guards against client requests being rejected while the limit has free capacity and nodes
// join and leave: after each membership change an owner granted less than half of the limit for
// 2 s, even if it had been the owner before.
func TestOwnerGrantsFullRateDuringMembershipChanges(t *testing.T) {
	const (
		rate            = 10.0
		minUsed         = 0.9
		duration        = 8 * clock.Millis(1000)
		changeInterval  = 1000
		requestInterval = 10
	)
	with, without := []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}
	upstream := upstreamOwnedBy(t, "a", with, without)
	limiter := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	limiter.SetMembers(0, members(with))
	start := clock.Millis(20_000)
	limiter.SetAdvertised(start, upstream, rate)
	permits := 0
	for now := start; now < start.Add(duration); now = now.Add(requestInterval) {
		if now.Sub(start)%changeInterval == 0 {
			list := with
			if now.Sub(start)%(2*changeInterval) == 0 {
				list = without
			}
			limiter.SetMembers(now, members(list))
		}
		for _, name := range with {
			limiter.RecordSeen(now, name)
		}
		grant, _ := limiter.HandleRequest(now, "b", limit.PermitRequest{
			Upstream: upstream, BootID: 1, Seq: uint64(now), Permits: 1, Advertised: limit.Advertised{Rate: rate, ReceivedAt: start},
		})
		permits += grant.Permits
	}
	if got, want := float64(permits), minUsed*rate*float64(duration)/1000; got < want {
		t.Errorf("got %v permits at %v a second in %d ms, want at least %v", got, rate, duration, want)
	}
}

// Guards against an upstream with a limit getting no requests for 20 s. A node that had just
// started and had not received messages from the other nodes acted for the owner with a small
// fraction of the limit, and reported the time until the next permit at that fraction. The
// requesting node sent no request before that time. It must send one when a permit is due at
// the full rate.
func TestNextPermitIsCappedByFullRate(t *testing.T) {
	const rate, wait = 0.5, clock.Millis(2200)
	names := []string{"a", "b", "c"}
	upstream := upstreamOwnedBy(t, "b", names)
	limiter := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	limiter.SetMembers(0, members(names))
	limiter.SetAdvertised(0, upstream, rate)
	requests := limiter.RequestPermits(10, upstream, 1)
	limiter.HandleGrant(12, "b", limit.Grant{Upstream: upstream, BootID: 1, Seq: requests[0].PermitRequest.Seq, NextIn: 60_000, Advertised: limit.Advertised{Rate: rate, ReceivedAt: 0}})
	if got, want := limiter.State(12+wait, upstream), limit.NeedsPermit; got != want {
		t.Errorf("got state %d after %d ms, want %d: a permit is due", got, wait, want)
	}
}

// Guards against client requests being rejected long after a limit of zero has ended. Only the
// response to a request shows the end of a limit, and one request in 20 s was sent under a
// limit of zero.
func TestPermitIsGrantedUnderZeroLimit(t *testing.T) {
	const atMost = clock.Millis(5000)
	upstream := fleet.IncarnationByID("u")
	limiter := limit.New(limit.WithSelf("a"), limit.WithBootID(1))
	limiter.SetAdvertised(0, upstream, 0)
	for now := clock.Millis(0); now <= atMost; now += 100 {
		limiter.RequestPermits(now, upstream, 1)
		if limiter.State(now, upstream) == limit.HasPermit {
			return
		}
	}
	t.Errorf("got no permit within %d ms, want one", atMost)
}
