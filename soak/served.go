package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/starved"
)

const (
	// calmDelay is after how long without harm all must be well again: the recovery time of the
	// users' deployments. calmDuration is for how long that is looked at.
	calmDelay    = 12 * time.Second
	calmDuration = 3 * time.Second
)

// tally counts tries, and when the first and the last were sent.
type tally struct {
	sent, served        int
	firstSent, lastSent time.Time
}

func (s *tally) add(t attempt) {
	if s.sent == 0 || t.sentAt.Before(s.firstSent) {
		s.firstSent = t.sentAt
	}
	if t.sentAt.After(s.lastSent) {
		s.lastSent = t.sentAt
	}
	s.sent++
	if t.status == http.StatusOK && t.complete {
		s.served++
	}
}

func (s *tally) servedShare() float64 {
	if s.sent == 0 {
		return 1
	}
	return float64(s.served) / float64(s.sent)
}

// checkServed tells what callers with the key that is never taken away got: all of it, by kind of
// request, and what was too little.
func (s *runner) checkServed(tries []attempt) (told string, broken []string) {
	var whole, calm tally
	kinds, callers := make(map[string]*tally), make(map[string]*tally)
	for _, t := range tries {
		caller, _, asks := strings.Cut(t.id, "-")
		if t.key != permanentKey || !asks || t.sentAt.IsZero() {
			continue
		}
		whole.add(t)
		tallyFor(kinds, strings.Split(t.path, "/")[1]).add(t)
		tallyFor(callers, caller).add(t)
		if t.sentAt.After(s.calmStart) && t.sentAt.Before(s.calmEnd) {
			calm.add(t)
		}
	}
	if calm.servedShare() < starved.MinServedWithoutFaults {
		broken = append(broken, fmt.Sprintf("%.3f of %d requests served in calm, want %v", calm.servedShare(), calm.sent, starved.MinServedWithoutFaults))
	}
	if why := checkNeverServed(callers, whole.servedShare()); why != "" {
		broken = append(broken, why)
	}
	told = fmt.Sprintf("served=%.3f of=%d calm=%.3f of=%d", whole.servedShare(), whole.sent, calm.servedShare(), calm.sent)
	for _, kind := range []string{"once", "read", "write"} {
		told += fmt.Sprintf(" %s=%.3f", kind, tallyFor(kinds, kind).servedShare())
	}
	return told, broken
}

// checkNeverServed tells of callers that were never served, where they are more than chance explains.
func checkNeverServed(callers map[string]*tally, part float64) string {
	var list []starved.Demand
	for _, c := range callers {
		list = append(list, starved.Demand{Requests: c.sent, Served: c.served, Span: c.lastSent.Sub(c.firstSent).Seconds()})
	}
	if never, often, most := starved.CountNeverServed(list, part); float64(never) > most {
		return fmt.Sprintf("%d of %d callers were never served, want %.1f at most", never, often, most)
	}
	return ""
}

func tallyFor(shares map[string]*tally, name string) *tally {
	if shares[name] == nil {
		shares[name] = &tally{}
	}
	return shares[name]
}
