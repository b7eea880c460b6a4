// Package outcome names the four ways a request can end, as its caller sees
// them. Every answer carries exactly one of them.
package outcome

import "github.com/cockroachdb/errors"

// ErrUnknownOutcome is returned by Parse for a name that is no outcome.
var ErrUnknownOutcome = errors.New("outcome: no such outcome")

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. The zero value means that the request has not ended.
const (
	None Outcome = iota
	// Done means that the whole answer has been given.
	Done
	// NotExecuted means that nothing of the request has run, at any node, and that
	// it is safe to ask again.
	NotExecuted
	// Failed means that the request ran or was read, and that this is its
	// error; asking again would give the same.
	Failed
	// Unknown means that the request may have run. The system will not repeat
	// it. Asking again with the same key is safe.
	Unknown
)

var names = [...]string{None: "none", Done: "done", NotExecuted: "not_run", Failed: "failed", Unknown: "unknown"}

// String returns the name that callers see.
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
