package follow

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Connections went silent for good, and requests went on to upstreams that had long said
// that they leave: a wait of 8 s, a margin, a pause and a call to another node, each of
// which made sense by itself, added up to more than a change may take to be known. Here
// the worst orders of events are summed from the limits in force.
func TestLimitsAddUpToTheirBounds(t *testing.T) {
	const within = usualWithin
	// silenceWithin is for how long the users count a node as out of touch after
	// connections went silent.
	const silenceWithin clock.Millis = 3000
	l := limitsFor(within)
	for _, tt := range []struct {
		name string
		sum  clock.Millis
		most clock.Millis
	}{
		{"the wait of a lone node is silent", l.wait + StoreMargin + storeAnswer, within},
		{"the same for the configuration", l.configWait + StoreMargin + storeAnswer, within},
		{"it is silent after a pause", max(gatherAlone, gatherYoung) + max(l.wait-gatherYoung, leastWait) + StoreMargin + storeAnswer, within},
		{"a connection that was idle is silent", IdleConnection + l.wait + StoreMargin + storeAnswer, silenceWithin},
		{"so is a connection to another node", IdleConnection + readerWait + 2*ReaderMargin + ReaderMargin + storeAnswer, silenceWithin},
		{"the call in which silence shows is silent too", StoreMargin + sitOutFor(1) + firstRetry + storeAnswer, within},
		{"and the configuration's as well", StoreMargin + retryPause(1) + firstRetry + storeAnswer, within},
		{"the store is away for long, and back", max(longestRetry, leastHang) + firstRetry + storeAnswer, silenceWithin},
		{"what vanished meanwhile is taken as gone", max(longestRetry, leastHang) + fleet.RemovalGrace + leastWait, silenceWithin},
		{"the node that is followed is frozen", gatherFollowed + readerWait - gatherFollowed + 2*ReaderMargin + storeAnswer, within},
		{"so is the next one", readerLost + storeAnswer, within},
		{"the node that is followed has lost the store", VouchFor + ReaderMargin + storeAnswer, within},
		{"the proof of a node that others follow, while its next wait is open", 2 * followedConfigWait, VouchFor},
		{"the same where that wait is silent, and it asks once more", 2*followedConfigWait + 2*renewal, VouchFor},
	} {
		if tt.sum > tt.most {
			t.Errorf("%s: got a sum of %d ms, want %d at most", tt.name, tt.sum, tt.most)
		}
	}
	for _, bound := range []clock.Millis{usualWithin, 3000, 6000, 60_000} {
		if got := readerLost + Patience(bound) + VouchSoon(bound) + storeAnswer; got > bound {
			t.Errorf("changes within %d ms: a lost reader takes up to %d", bound, got)
		}
		if got := limitsFor(bound).wait + StoreMargin + storeAnswer; got > bound {
			t.Errorf("changes within %d ms: a silent wait takes up to %d", bound, got)
		}
	}
}
