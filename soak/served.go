package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/starved"
)

const (
	// calmDelay is how long after the last fault the calm span starts: the recovery time of the
	// users' deployments. calmDuration is the length of the span.
	calmDelay    = 12 * time.Second
	calmDuration = 3 * time.Second
)

// tally counts attempts and their successes. firstSent and lastSent are the times of the first
// and the last attempt.
type tally struct {
	sent, served        int
	firstSent, lastSent time.Time
}

func (t *tally) add(a attempt) {
	if t.sent == 0 || a.sentAt.Before(t.firstSent) {
		t.firstSent = a.sentAt
	}
	if a.sentAt.After(t.lastSent) {
		t.lastSent = a.sentAt
	}
	t.sent++
	if a.status == http.StatusOK && a.complete {
		t.served++
	}
}

func (t *tally) servedShare() float64 {
	if t.sent == 0 {
		return 1
	}
	return float64(t.served) / float64(t.sent)
}

// checkServed returns a summary of the share of requests with keys that are never revoked that were
// served, in total, in the calm span and by kind of request, and the violations where the share
// is too low.
func (r *runner) checkServed(attempts []attempt) (summary string, violations []string) {
	var total, calm tally
	byKind, byCaller := make(map[string]*tally), make(map[string]*tally)
	for _, t := range attempts {
		caller, _, ok := strings.Cut(t.id, "-")
		if t.key == revocableKey || !ok || t.sentAt.IsZero() {
			continue
		}
		if t.sentAt.After(r.calmStart) && t.sentAt.Before(r.calmEnd) {
			calm.add(t)
		}
		if t.key == crawlerKey {
			// Its immediate retries would lower the share of all, and thereby the demands on it.
			continue
		}
		total.add(t)
		tallyFor(byKind, strings.Split(t.path, "/")[1]).add(t)
		tallyFor(byCaller, caller).add(t)
	}
	if calm.servedShare() < starved.MinServedWithoutFaults {
		violations = append(violations, fmt.Sprintf("%.3f of %d requests served without faults, want at least %v", calm.servedShare(), calm.sent, starved.MinServedWithoutFaults))
	}
	if violation := checkNeverServed(byCaller, total.servedShare()); violation != "" {
		violations = append(violations, violation)
	}
	summary = fmt.Sprintf("served=%.3f of=%d calm=%.3f of=%d", total.servedShare(), total.sent, calm.servedShare(), calm.sent)
	for _, kind := range []string{"once", "read", "write"} {
		summary += fmt.Sprintf(" %s=%.3f", kind, tallyFor(byKind, kind).servedShare())
	}
	return summary, violations
}

// checkNeverServed returns a violation if more callers were never served than chance explains;
// else an empty string.
func checkNeverServed(byCaller map[string]*tally, share float64) string {
	var list []starved.Demand
	for _, c := range byCaller {
		list = append(list, starved.Demand{Requests: c.sent, Served: c.served, Span: c.lastSent.Sub(c.firstSent).Seconds()})
	}
	if never, often, most := starved.CountNeverServed(list, share); float64(never) > most {
		return fmt.Sprintf("%d of %d callers were never served, want at most %.1f", never, often, most)
	}
	return ""
}

func tallyFor(shares map[string]*tally, name string) *tally {
	if shares[name] == nil {
		shares[name] = &tally{}
	}
	return shares[name]
}
