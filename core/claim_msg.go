package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
)

// KeyClaim pairs a key with a claim: the one requested in a ClaimsCmd, or the permanent one in a
// ClaimsMsg.
type KeyClaim struct {
	Key   string     `json:"key"`
	Claim once.Claim `json:"claim"`
}

// ClaimsCmd writes claims into the platform's table, in one transaction if possible. A key without
// a claim gets the given one; a key that has one keeps it.
type ClaimsCmd struct {
	Batch  uint64     `json:"batch"`
	Claims []KeyClaim `json:"claims"`
}

// ClaimsMsg reports, for each key of a batch, the claim that the table holds.
type ClaimsMsg struct {
	Batch  uint64     `json:"batch"`
	Claims []KeyClaim `json:"claims"`
}

// ClaimsFailedMsg reports that the table did not answer a batch. The claims may or may not have
// been written, and may still be written later.
type ClaimsFailedMsg struct {
	Batch uint64 `json:"batch"`
}

// RelayCmd relays a request to the node that owns its key.
type RelayCmd struct {
	Request  uint64       `json:"request"`
	Owner    once.Claim   `json:"owner"`
	Address  string       `json:"address"`
	Account  string       `json:"account"`
	Spec     SubmitMsg    `json:"spec"`
	Deadline clock.Millis `json:"deadline"`
}

// RelayTokensMsg carries pieces of an answer from the owner of the key.
type RelayTokensMsg struct {
	Request uint64   `json:"request"`
	Texts   []string `json:"texts"`
}

// RelayDoneMsg carries the result of a relayed request from the owner of the key.
type RelayDoneMsg struct {
	Request uint64    `json:"request"`
	Finish  FinishCmd `json:"finish"`
}

// RelayFailedMsg reports that the owner of the key gave no result.
type RelayFailedMsg struct {
	Request uint64 `json:"request"`
	// NotSent is set when it is certain that the owner did not receive the request.
	NotSent bool `json:"not_sent,omitempty"`
}
