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
	const within = defaultChangeDeadline
	// silenceWithin is for how long the users count a node as out of touch after
	// connections went silent.
	const silenceWithin clock.Millis = 3000
	l := limitsFor(within)
	for _, tt := range []struct {
		name string
		sum  clock.Millis
		most clock.Millis
	}{
		{"the wait of a lone node is silent", l.listWait + StoreMargin + slowStoreAnswer, within},
		{"the same for the configuration", l.configWait + StoreMargin + slowStoreAnswer, within},
		{"it is silent after a pause", max(gatherAlone, gatherAtStart) + max(l.listWait-gatherAtStart, minWait) + StoreMargin + slowStoreAnswer, within},
		{"a connection that was idle is silent", IdleConnTimeout + l.listWait + StoreMargin + slowStoreAnswer, silenceWithin},
		{"so is a connection to another node", IdleConnTimeout + readerListWait + 2*ReaderMargin + ReaderMargin + slowStoreAnswer, silenceWithin},
		{"the call in which silence shows is silent too", StoreMargin + storePause(1) + minRetryPause + slowStoreAnswer, within},
		{"and the configuration's as well", StoreMargin + retryPause(1) + minRetryPause + slowStoreAnswer, within},
		{"the store is away for long, and back", max(maxRetryPause, minHang) + minRetryPause + slowStoreAnswer, silenceWithin},
		{"what vanished meanwhile is taken as gone", max(maxRetryPause, minHang) + fleet.RemovalGrace + minWait, silenceWithin},
		{"the node that is followed is frozen", gatherFollowed + readerListWait - gatherFollowed + 2*ReaderMargin + slowStoreAnswer, within},
		{"so is the next one", readerLossDelay + slowStoreAnswer, within},
		{"the node that is followed has lost the store", ProofLifetime + ReaderMargin + slowStoreAnswer, within},
		{"the proof of a node that others follow, while its next wait is open", 2 * followedConfigWait, ProofLifetime},
		{"the same where that wait is silent, and it asks once more", 2*followedConfigWait + 2*renewalTime, ProofLifetime},
	} {
		if tt.sum > tt.most {
			t.Errorf("%s: got a sum of %d ms, want %d at most", tt.name, tt.sum, tt.most)
		}
	}
	for _, bound := range []clock.Millis{defaultChangeDeadline, 3000, 6000, 60_000} {
		if got := readerLossDelay + FailoverWait(bound) + FirstRequestWait(bound) + slowStoreAnswer; got > bound {
			t.Errorf("changes within %d ms: a lost reader takes up to %d", bound, got)
		}
		if got := limitsFor(bound).listWait + StoreMargin + slowStoreAnswer; got > bound {
			t.Errorf("changes within %d ms: a silent wait takes up to %d", bound, got)
		}
	}
}
