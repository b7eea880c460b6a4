package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// listWatchInterval is how often a node looks how old its list of upstreams is.
const listWatchInterval = 100 * time.Millisecond

// listWatch notices a list of upstreams that stands still for longer than a change of
// it may take to be known.
type listWatch struct {
	maxAge clock.Millis
	// staleAge is how old the list was when last looked at, while it is too old.
	staleAge clock.Millis
}

// observe takes the list's age. News tells that it has become too old, or is no longer:
// then stood is how old it was.
func (w *listWatch) observe(age clock.Millis) (news, old bool, stood clock.Millis) {
	was := w.staleAge > 0
	old = age > w.maxAge
	stood = max(age, w.staleAge)
	w.staleAge = 0
	if old {
		w.staleAge = age
	}
	return old != was, old, stood
}

// watchList logs when the list stands still for too long, and when it is confirmed
// again: until then a request may go to an upstream that has long said that it leaves.
func (n *Node) watchList(ctx context.Context) error {
	tick := time.NewTicker(listWatchInterval)
	defer tick.Stop()
	w := listWatch{maxAge: n.settings.LeavingDeadline}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		switch news, old, stood := w.observe(n.fleetFollower.ListAge()); {
		case news && old:
			n.log.Warn("list_old", zap.Int64("list_age_ms", int64(stood)), zap.Int64("within_ms", int64(w.maxAge)))
		case news:
			n.log.Info("list_confirmed", zap.Int64("stood_ms", int64(stood)))
		}
	}
}
