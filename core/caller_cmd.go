package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// EmitCmd gives callers the next pieces of an answer.
type EmitCmd struct {
	Callers []uint64 `json:"callers"`
	Texts   []string `json:"texts"`
}

// FinishCmd gives a caller the final word on its request.
type FinishCmd struct {
	Caller  uint64          `json:"caller"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  Reason          `json:"reason"`
	// RetryAfter is when to ask again, if the reason will pass.
	RetryAfter clock.Millis `json:"retry_after,omitempty"`
	// Tokens is how many pieces the answer had.
	Tokens int `json:"tokens,omitempty"`
	// Status, ContentType and Body are a plain service's answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// TicketsCmd gives a caller its tickets.
type TicketsCmd struct {
	Caller  uint64   `json:"caller"`
	Tickets []string `json:"tickets"`
}
