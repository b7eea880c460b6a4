package main

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Errors with a separate exit code.
var (
	errSpreading = errors.New("change is committed but not yet confirmed in two data centres")
	errConflict  = errors.New("conflict with another change; nothing was applied")
	errInvalid   = errors.New("change is invalid; nothing was applied")
	errUnknown   = errors.New("outcome is unknown; repeat the command with the same --change-id")
)

// exitCodes maps errors to the exit codes of the program.
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

// stateError returns the error for the state of a proposal, or nil if it was accepted.
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
		return errors.Wrapf(errConflict, "newest version is %d", r.GetVersion())
	case wire.ProposeState_PROPOSE_STATE_INVALID:
		return errors.Wrap(errInvalid, r.GetDetail())
	default:
		return errUnknown
	}
}
