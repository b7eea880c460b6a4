package entry

import "github.com/cockroachdb/errors"

// Errors that callers test for with errors.Is.
var (
	// ErrStopping means that the node is about to exit.
	ErrStopping = errors.New("entry: stopping")
	// ErrVersionNotFound means that a version of the configuration is not held here.
	ErrVersionNotFound = errors.New("entry: no such version here")
	// ErrUpstreamNotFound means that no upstream has that name.
	ErrUpstreamNotFound = errors.New("entry: no such upstream")
)
