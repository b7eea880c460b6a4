package relay

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// reportTTL is for how long a report is not asked for again. When an engine
// is lost, all streams that pass it ask for the same reports within the time
// between two events; each question costs what a health check costs, and reports
// are 200 ms old when they come.
const reportTTL clock.Millis = 120

// reportCache asks engines for their reports, once for all who want to know.
type reportCache struct {
	engines Engines
	clock   *clock.Clock
	group   singleflight.Group
	mu      sync.Mutex
	entries map[fleet.Incarnation]cachedReport
}

// cachedReport is what an engine has answered, or that it has not.
type cachedReport struct {
	fetchedAt clock.Millis
	report    EngineReport
	err       error
}

func newReportCache(engines Engines, c *clock.Clock) *reportCache {
	return &reportCache{engines: engines, clock: c, entries: make(map[fleet.Incarnation]cachedReport)}
}

// get returns an engine's report; it may be reportTTL old.
func (r *reportCache) get(ctx context.Context, address string, upstream fleet.Incarnation) (EngineReport, error) {
	r.mu.Lock()
	known, ok := r.entries[upstream]
	r.mu.Unlock()
	if ok && r.clock.Now() < known.fetchedAt.Add(reportTTL) {
		return known.report, known.err
	}
	answer, err, _ := r.group.Do(upstream.String(), func() (any, error) {
		report, err := r.engines.Report(ctx, address, upstream)
		r.store(upstream, cachedReport{fetchedAt: r.clock.Now(), report: report, err: err})
		return report, err
	})
	return answer.(EngineReport), err
}

func (r *reportCache) store(upstream fleet.Incarnation, report cachedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[upstream] = report
}

// evict drops what is known of an upstream that is gone.
func (r *reportCache) evict(upstream fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, upstream)
}
