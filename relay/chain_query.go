package relay

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// stallReport is the combined state of a chain's engines during a stall.
type stallReport struct {
	attempt *attempt
	// stalled are the streams that the first engine reports as stalled.
	stalled []StalledStream
	// unresponsive are the parts of the chain whose engines did not answer. slowest is the part
	// with the largest slowdown.
	unresponsive []chain.Stage
	slowest      chain.Stage
	slowdown     float64
	// overdue are the unresponsive engines that may still answer.
	overdue []chain.Stage
}

// queryChain fetches the reports of all engines of a chain, because a crashed engine stops
// responding before the first engine's report names it.
func (r *Relay) queryChain(a *attempt, parts []chain.Stage, wait clock.Millis) stallReport {
	reports := make([]cachedReport, len(parts))
	var group sync.WaitGroup
	for i, part := range parts {
		group.Add(1)
		go r.guard("chain_query", func() {
			defer group.Done()
			reports[i].report, reports[i].err = r.reports.getWithin(r.lifetime, part.Address, part.ID, wait, func(late cachedReport) { r.settleReport(part.ID, late) })
		})
	}
	group.Wait()
	report := stallReport{attempt: a, stalled: reports[0].report.Stalled}
	for i, part := range parts {
		if reports[i].err != nil {
			report.unresponsive = append(report.unresponsive, part)
			if errors.Is(reports[i].err, errReportOverdue) {
				report.overdue = append(report.overdue, part)
			}
			continue
		}
		r.decider.notify(r.lifetime, dispatch.ReportMsg{Upstream: part.ID, Report: reports[i].report.Report})
		if reports[i].report.Slowdown > report.slowdown {
			report.slowest, report.slowdown = part, reports[i].report.Slowdown
		}
	}
	if len(report.unresponsive) == len(parts) {
		r.decider.notify(r.lifetime, dispatch.ChainUnansweredMsg{Upstreams: chainIDs(parts)})
	}
	return report
}

// chainIDs returns the engines of a chain.
func chainIDs(parts []chain.Stage) []fleet.Incarnation {
	ids := make([]fleet.Incarnation, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// faultyAddress returns the address of the engine that blocks a stream; empty if unknown. An
// unresponsive first engine takes precedence, since the stream is received from it.
func (r stallReport) faultyAddress(callerID string) string {
	first := r.attempt.cmd.Address
	if len(r.unresponsive) > 0 && r.unresponsive[0].Address == first {
		return first
	}
	for _, stream := range r.stalled {
		if stream.ID == callerID {
			return stream.At
		}
	}
	if len(r.unresponsive) > 0 {
		return r.unresponsive[0].Address
	}
	return ""
}

// mayAnswer reports whether the engine at an address counts as unresponsive only because its report
// is overdue.
func (r stallReport) mayAnswer(address string) bool {
	return slices.ContainsFunc(r.overdue, func(p chain.Stage) bool { return p.Address == address })
}
