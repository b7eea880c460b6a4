package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/standin"
)

// revocationBound bounds how long after the store's acknowledgement a revoked key may still be
// used. The nodes' settings contain the same value.
const revocationBound = 5 * time.Second

// maxListed bounds the number of violations in the output.
const maxListed = 10

// revocation is a time span in which the revocable key was not valid. A zero end means that the
// key is still revoked.
type revocation struct {
	from, to time.Time
}

// checkAttempts compares the responses that callers received with the executions that the plain
// services counted, and returns the violations.
func checkAttempts(attempts []attempt, executions map[string]standin.ExecutionRecord, revocations []revocation) []string {
	var violations []string
	for _, t := range attempts {
		if violation := checkAttempt(t, executions[t.id], revocations); violation != "" {
			violations = append(violations, fmt.Sprintf("%s %s (status %d): %s", t.id, t.path, t.status, violation))
		}
	}
	return truncated(violations)
}

// truncated returns at most maxListed violations, followed by the number of those omitted.
func truncated(violations []string) []string {
	if len(violations) > maxListed {
		violations = append(violations[:maxListed], fmt.Sprintf("and %d more", len(violations)-maxListed))
	}
	return violations
}

func checkAttempt(t attempt, execution standin.ExecutionRecord, revocations []revocation) string {
	account, _ := standin.KeyAccount(t.key)
	switch {
	case strings.Contains(t.body, string(dispatch.ReasonQuarantined)) && !standin.CausesCrash(t.path):
		return "refused as quarantined although the request crashes no upstream"
	case t.status == http.StatusOK && t.complete && t.body != expectedBody(t.path):
		return fmt.Sprintf("complete response is wrong: %q", t.body)
	case t.status == http.StatusOK && !t.complete && !strings.HasPrefix(expectedBody(t.path), t.body):
		return fmt.Sprintf("truncated response is not a prefix of the expected body: %q", t.body)
	case strings.HasPrefix(t.path, "/once/") && execution.Executions > 1:
		return fmt.Sprintf("executed %d times", execution.Executions)
	case strings.HasPrefix(t.path, "/once/") && isRefusal(t.status) && execution.Executions > 0:
		return "refused as not executed, but was executed"
	case t.key != revocableKey && (t.status == http.StatusUnauthorized || t.status == http.StatusNotFound):
		return "denied although every configuration contains its key"
	case t.key == revocableKey && execution.Executions > 0 && sentWhileRevoked(t.sentAt, revocations):
		return "executed with a revoked key"
	case execution.Executions > 0 && execution.Account != account:
		return "executed for the wrong account " + execution.Account
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

// sentWhileRevoked reports whether a request was sent more than revocationBound after a
// revocation and before the key was restored.
func sentWhileRevoked(sent time.Time, revocations []revocation) bool {
	for _, r := range revocations {
		if sent.After(r.from.Add(revocationBound)) && (r.to.IsZero() || sent.Before(r.to)) {
			return true
		}
	}
	return false
}

// expectedBody returns the complete response body for a path.
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
