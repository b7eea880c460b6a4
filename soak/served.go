package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/starved"
)

const (
	// calmAfter is after how long without harm all must be well again: the recovery time of the
	// users' deployments. calmFor is for how long that is looked at.
	calmAfter = 12 * time.Second
	calmFor   = 3 * time.Second
)

// share counts tries, and when the first and the last were sent.
type share struct {
	asked, served int
	first, last   time.Time
}

func (s *share) add(t try) {
	if s.asked == 0 || t.sent.Before(s.first) {
		s.first = t.sent
	}
	if t.sent.After(s.last) {
		s.last = t.sent
	}
	s.asked++
	if t.status == http.StatusOK && t.whole {
		s.served++
	}
}

func (s *share) part() float64 {
	if s.asked == 0 {
		return 1
	}
	return float64(s.served) / float64(s.asked)
}

// served tells what callers with the key that is never taken away got: all of it, by kind of
// request, and what was too little.
func (s *soak) served(tries []try) (told string, broken []string) {
	var whole, calm share
	kinds, callers := make(map[string]*share), make(map[string]*share)
	for _, t := range tries {
		caller, _, asks := strings.Cut(t.id, "-")
		if t.key != keptKey || !asks || t.sent.IsZero() {
			continue
		}
		whole.add(t)
		of(kinds, strings.Split(t.path, "/")[1]).add(t)
		of(callers, caller).add(t)
		if t.sent.After(s.calmFrom) && t.sent.Before(s.calmTo) {
			calm.add(t)
		}
	}
	if calm.part() < starved.MinServedWithoutFaults {
		broken = append(broken, fmt.Sprintf("%.3f of %d requests served in calm, want %v", calm.part(), calm.asked, starved.MinServedWithoutFaults))
	}
	if why := neverServed(callers, whole.part()); why != "" {
		broken = append(broken, why)
	}
	told = fmt.Sprintf("served=%.3f of=%d calm=%.3f of=%d", whole.part(), whole.asked, calm.part(), calm.asked)
	for _, kind := range []string{"once", "read", "write"} {
		told += fmt.Sprintf(" %s=%.3f", kind, of(kinds, kind).part())
	}
	return told, broken
}

// neverServed tells of callers that were never served, where they are more than chance explains.
func neverServed(callers map[string]*share, part float64) string {
	var list []starved.Demand
	for _, c := range callers {
		list = append(list, starved.Demand{Requests: c.asked, Served: c.served, Span: c.last.Sub(c.first).Seconds()})
	}
	if never, often, most := starved.CountNeverServed(list, part); float64(never) > most {
		return fmt.Sprintf("%d of %d callers were never served, want %.1f at most", never, often, most)
	}
	return ""
}

func of(shares map[string]*share, name string) *share {
	if shares[name] == nil {
		shares[name] = &share{}
	}
	return shares[name]
}
