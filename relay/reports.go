package relay

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// reportLasts is for how long a report is not asked for again. When an engine
// is lost, all streams that pass it ask for the same reports within the time
// between two events; each question costs what a health check costs, and reports
// are 200 ms old when they come.
const reportLasts clock.Millis = 120

// reports asks engines for their reports, once for all who want to know.
type reports struct {
	engines Engines
	clock   *clock.Clock
	group   singleflight.Group
	mu      sync.Mutex
	recent  map[fleet.Incarnation]recentReport
}

// recentReport is what an engine has answered, or that it has not.
type recentReport struct {
	at     clock.Millis
	report EngineReport
	err    error
}

func newReports(engines Engines, c *clock.Clock) *reports {
	return &reports{engines: engines, clock: c, recent: make(map[fleet.Incarnation]recentReport)}
}

// get returns an engine's report; it may be reportLasts old.
func (r *reports) get(ctx context.Context, address string, upstream fleet.Incarnation) (EngineReport, error) {
	r.mu.Lock()
	known, ok := r.recent[upstream]
	r.mu.Unlock()
	if ok && r.clock.Now() < known.at.Add(reportLasts) {
		return known.report, known.err
	}
	answer, err, _ := r.group.Do(upstream.String(), func() (any, error) {
		report, err := r.engines.Report(ctx, address, upstream)
		r.keep(upstream, recentReport{at: r.clock.Now(), report: report, err: err})
		return report, err
	})
	return answer.(EngineReport), err
}

func (r *reports) keep(upstream fleet.Incarnation, report recentReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent[upstream] = report
}

// forget drops what is known of an upstream that is gone.
func (r *reports) forget(upstream fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.recent, upstream)
}
