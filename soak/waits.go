package soak

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// maxWait bounds how long the last requests may wait for capacity after the callers have ended:
	// a caller abandons a stream after 2 s without an event.
	maxWait = 3 * time.Second
	// maxInversion bounds by how much the served share of a priority may be below that of a less
	// urgent one of the same service. Shares of fewer than minCompared requests are not compared.
	maxInversion = 0.15
	minCompared  = 100
)

// readLogs returns the ids of the requests that waited for capacity at nodes and of those that engines
// executed, and a violation for each whose waits have not all ended. Of a node that dropped log
// lines, the waits until then are not judged.
func (c *cluster) readLogs() (waited, executed map[string]bool, lost []string, err error) {
	waited, executed = make(map[string]bool), make(map[string]bool)
	for _, p := range slices.Concat(c.nodes, c.engines) {
		log, readErr := os.ReadFile(filepath.Join(c.logDir, p.Name()+".log"))
		err = errors.CombineErrors(err, readErr)
		open := make(map[string]int)
		for line := range strings.SplitSeq(string(log), "\n") {
			_, rest, _ := strings.Cut(line, " id=")
			id, _, _ := strings.Cut(rest, " ")
			switch {
			case strings.HasPrefix(line, standin.ExecutedMark):
				executed[id] = true
			case strings.Contains(line, "event=awaits_capacity "):
				waited[id] = true
				open[id]++
			case strings.Contains(line, "event=awaited_capacity "):
				open[id]--
			case line == process.KillMark, strings.Contains(line, "event=log_lines_dropped "):
				clear(open)
			}
		}
		for id, n := range open {
			if n > 0 {
				lost = append(lost, fmt.Sprintf("%s at %s: %d more waits for capacity began than ended", id, p.Name(), n))
			}
		}
	}
	return waited, executed, lost, err
}

// checkWaits returns the violations by requests that waited for capacity: each wait ends, its caller
// gets an answer or a closed connection, and no engine executes a refused request.
func (r *runner) checkWaits(attempts []attempt) ([]string, error) {
	waited, executed, violations, err := r.cluster.readLogs()
	for until := time.Now().Add(maxWait); len(violations) > 0 && time.Now().Before(until); {
		time.Sleep(100 * time.Millisecond)
		waited, executed, violations, err = r.cluster.readLogs()
	}
	for _, t := range attempts {
		if isRefusal(t.status) && executed[t.id] {
			violations = append(violations, fmt.Sprintf("%s (status %d, waited: %v): refused as not executed, but an engine executed it", t.id, t.status, waited[t.id]))
		}
		if waited[t.id] && errors.Is(t.err, context.DeadlineExceeded) && !r.disturbedDuring(t) {
			violations = append(violations, fmt.Sprintf("%s waited for capacity and got no answer from %s", t.id, r.callers.nodeOf(t.id)))
		}
	}
	_, _ = fmt.Fprintf(r.Out, "waited=%d executed_streams=%d\n", len(waited), len(executed))
	return truncated(violations), err
}

// disturbedDuring reports whether the node of an attempt was killed, stopped or paused meanwhile.
func (r *runner) disturbedDuring(t attempt) bool {
	return r.disturbed.overlaps(r.callers.nodeOf(t.id), t.sentAt, t.endedAt)
}

// checkPriorities prints the served shares by service and priority, and returns the violations where a
// more urgent priority was served worse. Requests to a disturbed node and those of the crawler
// do not count, since they are no random samples.
func (r *runner) checkPriorities(attempts []attempt) (violations []string) {
	byClass := make(map[string]*tally)
	for _, t := range attempts {
		if t.key == revocableKey || t.key == crawlerKey || errors.Is(t.err, context.Canceled) || r.disturbedDuring(t) {
			continue
		}
		service := standin.SitePlainService
		if strings.HasPrefix(t.path, "/write/") {
			service = standin.SiteStreamService
		}
		_, priority := standin.KeyAccount(t.key)
		tallyFor(byClass, fmt.Sprintf("%s.%v", service, priority)).add(t)
	}
	classes := slices.Sorted(maps.Keys(byClass))
	for i, class := range classes {
		urgent := byClass[class]
		_, _ = fmt.Fprintf(r.Out, "%s=%.3f of=%d\n", class, urgent.servedShare(), urgent.sent)
		for _, other := range classes[i+1:] {
			less := byClass[other]
			if class[:4] == other[:4] && min(urgent.sent, less.sent) >= minCompared && less.servedShare()-urgent.servedShare() > maxInversion {
				violations = append(violations, fmt.Sprintf("%s was served %.3f of %d requests, the less urgent %s %.3f of %d", class, urgent.servedShare(), urgent.sent, other, less.servedShare(), less.sent))
			}
		}
	}
	return violations
}
