package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
)

// SubmitMsg says that a caller, or a peer on a caller's behalf, asks for
// something.
type SubmitMsg struct {
	// Caller names the connection that waits for the answer. It is unique at
	// this node.
	Caller uint64 `json:"caller"`
	// KeyHash tells the client account.
	KeyHash KeyHash `json:"key_hash"`
	// Relayed is set when a peer asks. Account then tells the client account,
	// and Claim is the claim that names this node.
	Relayed bool       `json:"relayed,omitempty"`
	Account string     `json:"account,omitempty"`
	Claim   once.Claim `json:"claim,omitzero"`

	Route string `json:"route"`
	// Key is the caller's own key or a ticket; empty for neither.
	Key string `json:"key,omitempty"`
	// NoRepeat marks the request as not to be repeated. A key implies it.
	NoRepeat bool `json:"no_repeat,omitempty"`
	// FirstTry is the caller's word that it has not sent this key before.
	FirstTry bool `json:"first_try,omitempty"`
	// Priority asks for a later priority than the account's own.
	Priority int `json:"priority,omitempty"`
	// Deadline is how long the caller will wait; zero for the usual time.
	Deadline clock.Millis `json:"deadline,omitempty"`

	// Prompt and MaxTokens are for a pipeline.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`

	// Path, Body and ContentType are for a plain service.
	Path        string `json:"path,omitempty"`
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"content_type,omitempty"`
}

// CancelMsg says that a caller has hung up.
type CancelMsg struct {
	Caller uint64 `json:"caller"`
}

// TicketsMsg says that a caller asks for tickets.
type TicketsMsg struct {
	Caller  uint64  `json:"caller"`
	KeyHash KeyHash `json:"key_hash"`
	Count   int     `json:"count"`
}
