package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// listWatchInterval is how often a node checks the age of its list of upstreams.
const listWatchInterval = 100 * time.Millisecond

// listWatch detects that the list of upstreams has not been confirmed for longer than a change
// to the list may take to reach a node.
type listWatch struct {
	maxAge clock.Millis
	// staleAge is the age of the list at the last check; zero while the list is not too old.
	staleAge clock.Millis
}

// observe records the list's age. It reports whether the list has become stale or stopped being
// stale since the last check, whether it is stale now, and the largest of the present and the
// last stale age.
func (w *listWatch) observe(age clock.Millis) (changed, stale bool, peakAge clock.Millis) {
	wasStale := w.staleAge > 0
	stale = age > w.maxAge
	peakAge = max(age, w.staleAge)
	w.staleAge = 0
	if stale {
		w.staleAge = age
	}
	return stale != wasStale, stale, peakAge
}

// watchList logs when the list becomes too old and when it is confirmed again. In between, the
// node may send requests to an upstream that has long announced that it leaves.
func (n *Node) watchList(ctx context.Context) error {
	w := listWatch{maxAge: n.settings.LeavingDeadline}
	for {
		n.clock.SleepToMultiple(ctx, listWatchInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch changed, stale, peakAge := w.observe(n.fleetFollower.ListAge()); {
		case changed && stale:
			n.log.Warn("list_old", zap.Int64("list_age_ms", int64(peakAge)), zap.Int64("within_ms", int64(w.maxAge)))
		case changed:
			n.log.Info("list_confirmed", zap.Int64("stood_ms", int64(peakAge)))
		}
	}
}
