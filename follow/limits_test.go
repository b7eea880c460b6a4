package follow

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against bounds that exceed a deadline in sum. With unresponsive connections, a wait of
// 8 s, a margin, a pause and a call to another node together delayed changes for too long, and
// nodes sent requests to upstreams that were leaving. Each case sums the bounds of a worst-case
// order of events.
func TestDelaysStayWithinDeadlines(t *testing.T) {
	const deadline = defaultChangeDeadline
	// disconnectedFor is how long users count a node as disconnected after its connections
	// became unresponsive.
	const disconnectedFor clock.Millis = 3000
	l := limitsFor(deadline)
	for _, tt := range []struct {
		name  string
		sum   clock.Millis
		bound clock.Millis
	}{
		{"a wait for the list is unresponsive at a node without readers", l.listWait + StoreMargin + slowStoreAnswer, deadline},
		{"a wait for the configuration is unresponsive at such a node", l.configWait + StoreMargin + slowStoreAnswer, deadline},
		{"a wait after a pause is unresponsive", max(gatherAlone, gatherAtStart) + max(l.listWait-gatherAtStart, minWait) + StoreMargin + slowStoreAnswer, deadline},
		{"an idle connection to the store is unresponsive", IdleConnTimeout + l.listWait + StoreMargin + slowStoreAnswer, disconnectedFor},
		{"an idle connection to the reader is unresponsive", IdleConnTimeout + readerListWait + 2*ReaderMargin + ReaderMargin + slowStoreAnswer, disconnectedFor},
		{"a repeated call for the list is unresponsive too", StoreMargin + storePause(1) + minRetryPause + slowStoreAnswer, deadline},
		{"a repeated call for the configuration is unresponsive too", StoreMargin + retryPause(1) + minRetryPause + slowStoreAnswer, deadline},
		{"the store recovers after a long outage", max(maxRetryPause, minHang) + minRetryPause + slowStoreAnswer, disconnectedFor},
		{"removals during a long outage are applied", max(maxRetryPause, minHang) + fleet.RemovalGrace + minWait, disconnectedFor},
		{"the reader is frozen", gatherFollowed + readerListWait - gatherFollowed + 2*ReaderMargin + slowStoreAnswer, deadline},
		{"the next reader is frozen too", readerLossDelay + slowStoreAnswer, deadline},
		{"the reader has lost the store", ProofLifetime + ReaderMargin + slowStoreAnswer, deadline},
		{"age of the proof of a reader while its next wait is open", 2 * followedConfigWait, ProofLifetime},
		{"age of the proof of a reader that repeats an unresponsive wait", 2*followedConfigWait + 2*renewalTime, ProofLifetime},
	} {
		if tt.sum > tt.bound {
			t.Errorf("%s: got a sum of %d ms, want at most %d", tt.name, tt.sum, tt.bound)
		}
	}
	for _, deadline := range []clock.Millis{defaultChangeDeadline, 3000, 6000, 60_000} {
		if got := readerLossDelay + FailoverWait(deadline) + FirstRequestWait(deadline) + slowStoreAnswer; got > deadline {
			t.Errorf("deadline of %d ms: got up to %d ms after the loss of a reader", deadline, got)
		}
		if got := limitsFor(deadline).listWait + StoreMargin + slowStoreAnswer; got > deadline {
			t.Errorf("deadline of %d ms: got up to %d ms for an unresponsive wait", deadline, got)
		}
	}
}
