package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// EmitCmd sends the next pieces of an answer to callers.
type EmitCmd struct {
	Callers []uint64 `json:"callers"`
	Texts   []string `json:"texts"`
}

// FinishCmd ends a caller's request with its result.
type FinishCmd struct {
	Caller  uint64          `json:"caller"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  Reason          `json:"reason"`
	// RetryAfter is the delay after which the client may retry, in ms; zero when a retry is not
	// suggested.
	RetryAfter clock.Millis `json:"retry_after,omitempty"`
	// Tokens is the number of pieces in the answer.
	Tokens int `json:"tokens,omitempty"`
	// Status, ContentType and Body are the answer of a plain service.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// TicketsCmd sends issued tickets to a caller.
type TicketsCmd struct {
	Caller  uint64   `json:"caller"`
	Tickets []string `json:"tickets"`
}
