package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/standin"
)

// revocationBound is how long after the acknowledgement a key that is taken away
// may still be used; the nodes' settings say the same.
const revocationBound = 5 * time.Second

// maxListed bounds the violations that a report lists.
const maxListed = 10

// revocation is a span during which the second key was not valid.
type revocation struct {
	from, to time.Time
}

// checkAttempts compares what callers got with what upstreams ran.
func checkAttempts(tries []attempt, runs map[string]standin.ExecutionRecord, gone []revocation) []string {
	var broken []string
	for _, t := range tries {
		if why := checkAttempt(t, runs[t.id], gone); why != "" {
			broken = append(broken, fmt.Sprintf("%s %s (status %d): %s", t.id, t.path, t.status, why))
		}
	}
	return truncated(broken)
}

// truncated bounds a list of violations for the report.
func truncated(broken []string) []string {
	if len(broken) > maxListed {
		broken = append(broken[:maxListed], fmt.Sprintf("and %d more", len(broken)-maxListed))
	}
	return broken
}

func checkAttempt(t attempt, run standin.ExecutionRecord, gone []revocation) string {
	switch {
	case strings.Contains(t.body, string(dispatch.ReasonQuarantined)) && !standin.CausesCrash(t.path):
		return "refused as if it ended upstreams"
	case t.status == http.StatusOK && t.complete && t.body != expectedBody(t.path):
		return fmt.Sprintf("a whole answer is wrong: %q", t.body)
	case t.status == http.StatusOK && !t.complete && !strings.HasPrefix(expectedBody(t.path), t.body):
		return fmt.Sprintf("an answer that was cut off is wrong: %q", t.body)
	case strings.HasPrefix(t.path, "/once/") && run.Executions > 1:
		return fmt.Sprintf("ran %d times", run.Executions)
	case strings.HasPrefix(t.path, "/once/") && isRefusal(t.status) && run.Executions > 0:
		return "refused as not run, but has run"
	case t.key == permanentKey && (t.status == http.StatusUnauthorized || t.status == http.StatusNotFound):
		return "denied although every configuration allows it"
	case t.key != permanentKey && run.Executions > 0 && sentWhileRevoked(t.sentAt, gone):
		return "ran with a key that had been taken away"
	case run.Executions > 0 && run.Account != standin.SiteAccount:
		return "ran for the wrong account " + run.Account
	}
	return ""
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sentWhileRevoked tells whether a request was sent so long after the key was taken away
// that it must not run.
func sentWhileRevoked(sent time.Time, gone []revocation) bool {
	for _, g := range gone {
		if sent.After(g.from.Add(revocationBound)) && (g.to.IsZero() || sent.Before(g.to)) {
			return true
		}
	}
	return false
}

// expectedBody is the whole answer to a path.
func expectedBody(path string) string {
	if !strings.HasPrefix(path, "/write/") {
		return standin.PlainAnswer(path)
	}
	var b strings.Builder
	for n := 1; n <= standin.SiteEventCount(path); n++ {
		b.WriteString(standin.SiteEvent(path, n))
	}
	return b.String()
}
