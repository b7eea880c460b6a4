package config

import "github.com/cockroachdb/errors"

// Errors that callers match with errors.Is.
var (
	// ErrInvalid means that a configuration or a change of it is invalid.
	ErrInvalid = errors.New("config: invalid")
	// ErrOutOfOrder means that the version of a change record does not directly
	// follow the version of the configuration.
	ErrOutOfOrder = errors.New("config: out of order")
)
