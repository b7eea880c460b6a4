package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
)

// KeyClaim asks for a key to be this claim's for ever, or says that it is.
type KeyClaim struct {
	Key   string     `json:"key"`
	Claim once.Claim `json:"claim"`
}

// ClaimsCmd writes claims into the platform's table, in one transaction where
// it can: each key that has no claim gets the one given.
type ClaimsCmd struct {
	Batch  uint64     `json:"batch"`
	Claims []KeyClaim `json:"claims"`
}

// ClaimsMsg gives, for each key of a batch, the claim that stands in the
// table.
type ClaimsMsg struct {
	Batch  uint64     `json:"batch"`
	Claims []KeyClaim `json:"claims"`
}

// ClaimsFailedMsg says that the table gave no answer to a batch. The claims
// may have been written or not, now or later.
type ClaimsFailedMsg struct {
	Batch uint64 `json:"batch"`
}

// RelayCmd hands a request to the node that owns its key.
type RelayCmd struct {
	Request  uint64       `json:"request"`
	Owner    once.Claim   `json:"owner"`
	Address  string       `json:"address"`
	Account  string       `json:"account"`
	Spec     SubmitMsg    `json:"spec"`
	Deadline clock.Millis `json:"deadline"`
}

// RelayTokensMsg brings pieces of an answer from the owner.
type RelayTokensMsg struct {
	Request uint64   `json:"request"`
	Texts   []string `json:"texts"`
}

// RelayDoneMsg brings the owner's final word.
type RelayDoneMsg struct {
	Request uint64    `json:"request"`
	Finish  FinishCmd `json:"finish"`
}

// RelayFailedMsg says that the owner gave no final word.
type RelayFailedMsg struct {
	Request uint64 `json:"request"`
	// NotSent is proof that the owner has not seen the request.
	NotSent bool `json:"not_sent,omitempty"`
}
