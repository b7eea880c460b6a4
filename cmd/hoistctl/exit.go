package main

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Errors that have an exit code of their own.
var (
	errSpreading = errors.New("committed for good, and still spreading")
	errConflict  = errors.New("another change was first; nothing of this one is in force")
	errInvalid   = errors.New("not valid; nothing of it is in force")
	errUnknown   = errors.New("not known whether it is in force; run the same command with the same --change-id")
)

// The exit codes, for scripts.
var exitCodes = []struct {
	err  error
	code int
}{
	{errSpreading, 3},
	{errConflict, 4},
	{errInvalid, 5},
	{errUnknown, 6},
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return 1
}

// stateError turns the state of a proposal into an error, or nil.
func stateError(r *wire.ProposeReply) error {
	switch r.GetState() {
	case wire.ProposeState_PROPOSE_STATE_ACCEPTED:
		return nil
	case wire.ProposeState_PROPOSE_STATE_SPREADING:
		return errSpreading
	case wire.ProposeState_PROPOSE_STATE_CONFLICT:
		if w := r.GetWinner(); w.GetChangeId() != "" {
			return errors.Wrapf(errConflict, "version %d is %s by %s", w.GetVersion(), w.GetChangeId(), w.GetOperator())
		}
		return errors.Wrapf(errConflict, "the newest version is %d", r.GetVersion())
	case wire.ProposeState_PROPOSE_STATE_INVALID:
		return errors.Wrap(errInvalid, r.GetDetail())
	default:
		return errUnknown
	}
}
