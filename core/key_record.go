package core

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/once"
)

// keyRecord is what is known here of a key that may run once.
type keyRecord struct {
	name  string
	claim once.Claim
	// ledger is where the key begins; nil while its owner is not known to be
	// this node.
	ledger *once.Ledger
	// owned is set once it is certain that this node owns the key, so that
	// the ledger alone tells whether it has run.
	owned bool
	// request is the newest request with the key; nil when it was refused.
	request *request
	// digest tells whether the key comes back with another request.
	digest uint64
}

// keyName is the key as the platform's table has it. Accounts do not share
// keys.
func keyName(account, key string) string { return account + "/" + key }

// requestDigest tells one request from another.
func requestDigest(s *SubmitMsg) uint64 {
	d := xxhash.New()
	for _, part := range []string{s.Route, s.Prompt, s.Path, string(s.Body)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
