package limit_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/limit"
)

// Guards against a node that grants itself the whole limit while it does not know the other nodes, and
// against one that then takes an upstream over from them at the full rate, or waits for long.
func TestUnknownMembersGrantNothing(t *testing.T) {
	const (
		rate            = 10.0
		knownAt         = clock.Millis(8000)
		handoverEnd     = knownAt + 2000
		requestInterval = 10
	)
	names := []string{"a", "b", "c"}
	upstream := upstreamOwnedBy(t, "a", names)
	limiter := limit.New(limit.WithSelf("a"), limit.WithBootID(1), limit.WithUnknownMembers())
	limiter.SetAdvertised(0, upstream, rate)
	var before, during int
	for now := clock.Millis(0); now < handoverEnd; now += requestInterval {
		if now == knownAt {
			limiter.SetMembers(now, members(names))
		}
		if sent := limiter.RequestPermits(now, upstream, 1); len(sent) > 0 {
			t.Fatalf("%d ms: got a request to %s, want none of the owner", now, sent[0].To)
		}
		if limiter.State(now, upstream) != limit.HasPermit {
			continue
		}
		limiter.RecordSent(now, upstream)
		if now < knownAt {
			before++
		} else {
			during++
		}
	}
	if before != 0 {
		t.Errorf("got %d permits while the nodes were unknown, want none", before)
	}
	// An owner that takes over grants less than half of the limit for 2 s.
	if atMost := rate * 2 * 0.45; during == 0 || float64(during) > atMost {
		t.Errorf("got %d permits in the 2 s after that, want some and at most %v", during, atMost)
	}
	if grant, _ := limit.New(limit.WithSelf("a"), limit.WithUnknownMembers()).HandleRequest(0, "b", limit.PermitRequest{
		Upstream: upstream, Permits: 1, Advertised: limit.Advertised{Rate: rate, ReceivedAt: 0},
	}); grant.Permits != 0 || grant.NextIn < 1000/rate {
		t.Errorf("got %d permits and the next in %d ms for another node, want none at the full rate", grant.Permits, grant.NextIn)
	}
}
