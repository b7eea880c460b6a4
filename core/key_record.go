package core

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/once"
)

// keyRecord is this node's state of a key that may be executed once.
type keyRecord struct {
	name  string
	claim once.Claim
	// ledger is the ledger that the claim belongs to; nil until this node is known to be the owner.
	ledger *once.Ledger
	// owned is set once this node is known to own the key, so that its ledger alone decides whether
	// the key has begun.
	owned bool
	// request is the request that the key identifies.
	request *request
	// digest is the hash of the request's content. A retry with the same key and another digest is
	// an error.
	digest uint64
}

// keyName returns the name of a key in the platform's table. It contains the account, so that
// accounts do not share keys.
func keyName(account, key string) string { return account + "/" + key }

// requestDigest returns a hash of a request's content.
func requestDigest(s *SubmitMsg) uint64 {
	d := xxhash.New()
	for _, part := range []string{s.Route, s.Prompt, s.Path, string(s.Body)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
