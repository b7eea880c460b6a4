package relay

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// reportTTL is the time in ms for which a report is reused. When an engine crashes, all its
// streams request the same reports within the time between two events; each query costs as much
// as a health check, and a report is already 200 ms old when it is received.
const reportTTL clock.Millis = 120

// reportCache fetches reports from engines and shares each one among concurrent callers.
type reportCache struct {
	engines Engines
	clock   *clock.Clock
	guard   contain.GuardFunc
	group   singleflight.Group
	mu      sync.Mutex
	entries map[fleet.Incarnation]cachedReport
	// overdue holds the engines whose answer to a query is awaited by settleReport.
	overdue map[fleet.Incarnation]bool
}

// cachedReport is the result of a query to an engine: its report or an error.
type cachedReport struct {
	fetchedAt clock.Millis
	report    EngineReport
	err       error
}

func newReportCache(engines Engines, c *clock.Clock, guard contain.GuardFunc) *reportCache {
	return &reportCache{engines: engines, clock: c, guard: guard, entries: make(map[fleet.Incarnation]cachedReport), overdue: make(map[fleet.Incarnation]bool)}
}

// get returns an engine's report, which may be up to reportTTL old.
func (r *reportCache) get(ctx context.Context, address string, upstream fleet.Incarnation) (EngineReport, error) {
	r.mu.Lock()
	cached, ok := r.entries[upstream]
	r.mu.Unlock()
	if ok && r.clock.Now() < cached.fetchedAt.Add(reportTTL) {
		return cached.report, cached.err
	}
	result, err, _ := r.group.Do(upstream.String(), func() (any, error) {
		report, err := r.engines.Report(ctx, address, upstream)
		r.store(upstream, cachedReport{fetchedAt: r.clock.Now(), report: report, err: err})
		return report, err
	})
	return result.(EngineReport), err
}

func (r *reportCache) store(upstream fleet.Incarnation, entry cachedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[upstream] = entry
}

// evict drops the cached report of an upstream that was removed from the list.
func (r *reportCache) evict(upstream fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, upstream)
}
