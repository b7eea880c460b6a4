package entry

import "github.com/cockroachdb/errors"

// Errors that callers test for with errors.Is.
var (
	// ErrStopping means that the node is about to exit.
	ErrStopping = errors.New("entry: stopping")
	// ErrNoVersion means that a version of the configuration is not held here.
	ErrNoVersion = errors.New("entry: no such version here")
	// ErrNoUpstream means that no upstream has that name.
	ErrNoUpstream = errors.New("entry: no such upstream")
)
