// Package callkey defines the names of the HTTP headers that callers, nodes and plain
// services exchange. docs/CALLERS.md describes them.
package callkey

// Headers of callers' requests.
const (
	// IdempotencyKey is the key chosen by the caller or the ticket of a request. A
	// request with a key executes at most once.
	IdempotencyKey = "Idempotency-Key"
	// NoRepeat marks a request that must not be repeated, with or without a key.
	NoRepeat = "Hoist-No-Repeat"
	// Try is the number of times that the caller has sent this key, including this
	// request. Only the value 1 has an effect: it states that no earlier request with
	// the key can have executed.
	Try = "Hoist-Try"
	// Priority requests a lower priority than the default of the client account.
	Priority = "Hoist-Priority"
	// Deadline is how long the caller waits for the response, in milliseconds.
	Deadline = "Hoist-Deadline-Ms"
)

// Headers of responses to callers.
const (
	// Outcome is the outcome of the request: done, not_run, failed or unknown.
	Outcome = "Hoist-Outcome"
	// Reason is the reason for an outcome other than done.
	Reason = "Hoist-Reason"
	// RetryAfter is the time to wait before a retry, in milliseconds.
	RetryAfter = "Hoist-Retry-After-Ms"
	// RequestID identifies the request in the logs of the node.
	RequestID = "Hoist-Request"
)

// Header carries the key of a request to a plain service. It differs from
// IdempotencyKey because net/http resends a request that has an Idempotency-Key header
// when a reused connection breaks.
const Header = "Hoist-Key"
