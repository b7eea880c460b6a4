// Package outcome defines the ways in which a request can end, as reported to its client. Every
// response carries exactly one of the four outcomes.
package outcome

import "github.com/cockroachdb/errors"

// ErrUnknownOutcome is returned by Parse for a name that is not an outcome.
var ErrUnknownOutcome = errors.New("outcome: unknown outcome name")

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. The zero value means that the request has not ended.
const (
	None Outcome = iota
	// Done means that the complete response was sent.
	Done
	// NotExecuted means that no part of the request was executed at any node, and that a retry
	// is safe.
	NotExecuted
	// Failed means that the request was executed or read and failed. A retry would give the
	// same error.
	Failed
	// Unknown means that the request may have been executed. The system does not retry it. A
	// client retry with the same key is safe.
	Unknown
)

var names = [...]string{None: "none", Done: "done", NotExecuted: "not_run", Failed: "failed", Unknown: "unknown"}

// String returns the name that clients receive.
func (o Outcome) String() string { return names[o] }

// Parse is the inverse of String.
func Parse(name string) (Outcome, error) {
	for o, n := range names {
		if n == name {
			return Outcome(o), nil
		}
	}
	return None, errors.Wrapf(ErrUnknownOutcome, "%q", name)
}
