package config

import "github.com/cockroachdb/errors"

// Errors that callers test for with errors.Is.
var (
	// ErrInvalid means that a configuration cannot be served as it is.
	ErrInvalid = errors.New("config: invalid")
	// ErrOutOfOrder means that a change record does not follow the version
	// that it was to be applied to.
	ErrOutOfOrder = errors.New("config: out of order")
)
