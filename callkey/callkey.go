// Package callkey names the HTTP headers that the system and those around it
// share. docs/CALLERS.md describes them.
package callkey

// Headers of callers' requests.
const (
	// IdempotencyKey carries the caller's key. A request with a key runs at most
	// once.
	IdempotencyKey = "Idempotency-Key"
	// NoRepeat marks a request as not to be repeated, with or without a key.
	NoRepeat = "Hoist-No-Repeat"
	// Try is how often the caller has sent this key, counting this time. Only
	// 1 says something: that no earlier try can have run.
	Try = "Hoist-Try"
	// Priority asks for a later priority than the account's own.
	Priority = "Hoist-Priority"
	// Deadline is how long the caller will wait, in milliseconds.
	Deadline = "Hoist-Deadline-Ms"
)

// Headers of answers.
const (
	// Outcome is done, not_run, failed or unknown.
	Outcome = "Hoist-Outcome"
	// Reason says why.
	Reason = "Hoist-Reason"
	// RetryAfter is when to ask again, in milliseconds.
	RetryAfter = "Hoist-Retry-After-Ms"
	// RequestID names the request in the node's logs.
	RequestID = "Hoist-Request"
)

// Header carries the key on to a plain service. It is not named like a
// caller's: net/http would take that for leave to send a request twice.
const Header = "Hoist-Key"
