package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
)

// SubmitMsg submits a request from a caller, or from a peer that relays it.
type SubmitMsg struct {
	// Caller is the id of the connection that waits for the answer. It is unique at this node.
	Caller uint64 `json:"caller"`
	// KeyHash identifies the client account by the hash of its access key.
	KeyHash KeyHash `json:"key_hash"`
	// Relayed is set when a peer relays the request. Account then identifies the client account,
	// and Claim is the claim on the request's key, owned by this node.
	Relayed bool       `json:"relayed,omitempty"`
	Account string     `json:"account,omitempty"`
	Claim   once.Claim `json:"claim,omitzero"`

	Route string `json:"route"`
	// Key is the client's own idempotency key or a ticket; empty if the request has neither.
	Key string `json:"key,omitempty"`
	// NoRepeat forbids a second execution of the request. A key implies it.
	NoRepeat bool `json:"no_repeat,omitempty"`
	// FirstTry is set when the client states that it has not sent this key before.
	FirstTry bool `json:"first_try,omitempty"`
	// Priority lowers the priority of the request. The larger number, and so the lower priority, of
	// this and the account's own applies.
	Priority int `json:"priority,omitempty"`
	// Deadline is how long the caller waits, in ms; zero selects the route's default.
	Deadline clock.Millis `json:"deadline,omitempty"`

	// Prompt and MaxTokens are set for a pipeline.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`

	// Path, Body and ContentType are set for a plain service.
	Path        string `json:"path,omitempty"`
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"content_type,omitempty"`
}

// CancelMsg reports that a caller has disconnected.
type CancelMsg struct {
	Caller uint64 `json:"caller"`
}

// TicketsMsg requests tickets for a caller.
type TicketsMsg struct {
	Caller  uint64  `json:"caller"`
	KeyHash KeyHash `json:"key_hash"`
	Count   int     `json:"count"`
}
