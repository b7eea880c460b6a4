package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// minReportWait is the least time in ms for which a stalled stream waits for an engine's
	// report. Engines answer within 5 ms, and a node that has used up its CPU quota may notice the
	// answer some 60 ms late.
	minReportWait clock.Millis = 60
	// maxTimerDelay is the delay in ms of a timer beyond which this node itself did not run: the
	// engine's answer may have arrived meanwhile and not been read yet.
	maxTimerDelay clock.Millis = 5
	// reportWaitShare is the share of the time left until a pause is late for which the stream
	// waits for a report. The rest is left for the new engines, which first read all tokens.
	reportWaitShare = 0.5
)

// errReportOverdue is the error of a report that has not arrived in the time that a stalled stream
// can wait.
var errReportOverdue = errors.New("relay: engine's report is overdue")

// reportWait returns how long a stream waits for the reports of its engines after a pause; zero if
// its route does not bound pauses, so that only the limit of the query applies.
func reportWait(gapTarget, pause clock.Millis) clock.Millis {
	if gapTarget <= 0 {
		return 0
	}
	return max(minReportWait, clock.Millis(reportWaitShare*float64(gapTarget-pause)))
}

// getWithin returns an engine's report like get, or errReportOverdue if it does not arrive within
// wait. The query then continues, and settle is called with its result; once if several streams
// wait for it. A time in which this node did not run does not count.
func (r *reportCache) getWithin(ctx context.Context, address string, upstream fleet.Incarnation, wait clock.Millis, settle func(cachedReport)) (EngineReport, error) {
	if wait <= 0 {
		return r.get(ctx, address, upstream)
	}
	results := make(chan cachedReport, 1)
	go r.guard("report_query", func() {
		var result cachedReport
		result.report, result.err = r.get(ctx, address, upstream)
		results <- result
	})
	for {
		waitedSince := r.clock.Now()
		timer := time.NewTimer(wait.Duration())
		select {
		case result := <-results:
			timer.Stop()
			return result.report, result.err
		case <-timer.C:
		}
		if r.clock.Now().Sub(waitedSince) <= wait.Add(maxTimerDelay) {
			break
		}
	}
	if r.markOverdue(upstream) {
		go r.guard("late_report", func() {
			result := <-results
			r.clearOverdue(upstream)
			settle(result)
		})
	}
	return EngineReport{}, errReportOverdue
}

// markOverdue records that the report of an engine is overdue, and reports whether it was not so
// before.
func (r *reportCache) markOverdue(upstream fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overdue[upstream] {
		return false
	}
	r.overdue[upstream] = true
	return true
}

func (r *reportCache) clearOverdue(upstream fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.overdue, upstream)
}

// settleReport passes the result of an overdue query to the decider, which ends the suspicion of an
// engine that has answered late.
func (r *Relay) settleReport(upstream fleet.Incarnation, result cachedReport) {
	if result.err == nil {
		r.stats.count("reports_late")
	}
	r.decider.notify(r.lifetime, dispatch.LateReportMsg{
		Upstream: upstream, Answered: result.err == nil, Identified: result.report.Identified, Report: result.report.Report,
	})
}
