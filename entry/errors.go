package entry

import "github.com/cockroachdb/errors"

// Errors of the peer and admin servers. Test for them with errors.Is.
var (
	// ErrStopping means that the node is stopping.
	ErrStopping = errors.New("entry: stopping")
	// ErrVersionNotFound means that the node does not hold the requested version of
	// the configuration.
	ErrVersionNotFound = errors.New("entry: no such version here")
	// ErrUpstreamNotFound means that no upstream has the given name.
	ErrUpstreamNotFound = errors.New("entry: no such upstream")
)
