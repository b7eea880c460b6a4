package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hoistjunction/hoistjunction/wire"
)

// proposal holds the flags shared by all commands that change the configuration.
type proposal struct {
	ChangeID string `arg:"--change-id" help:"ID of the change; repeat the command with the same ID if the response was lost"`
	Base     uint64 `arg:"--base" help:"version that the change is based on; default is the newest"`
}

// propose proposes changes and prints the resulting version and state.
func (p proposal) propose(ctx context.Context, s *session, changes ...*wire.Change) error {
	if p.ChangeID == "" {
		p.ChangeID = randomID()
	}
	resp, err := s.admin.Propose(ctx, connect.NewRequest(&wire.ProposeRequest{
		ChangeId: p.ChangeID, BaseVersion: p.Base, Changes: changes,
	}))
	if err != nil {
		return errors.Wrapf(errUnknown, "change %s: %v", p.ChangeID, err)
	}
	row := cells(p.ChangeID, resp.Msg.GetVersion(), stateWord(resp.Msg.GetState()))
	if err := s.out.show(resp.Msg, "CHANGE VERSION STATE", [][]string{row}); err != nil {
		return err
	}
	return stateError(resp.Msg)
}

func stateWord(s wire.ProposeState) string {
	switch s {
	case wire.ProposeState_PROPOSE_STATE_ACCEPTED:
		return "accepted"
	case wire.ProposeState_PROPOSE_STATE_SPREADING:
		return "spreading"
	case wire.ProposeState_PROPOSE_STATE_CONFLICT:
		return "conflict"
	case wire.ProposeState_PROPOSE_STATE_INVALID:
		return "invalid"
	default:
		return "unknown"
	}
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand documents that Read never returns an error
	return hex.EncodeToString(b[:])
}

// applyCommand proposes the changes of a file as one atomic change.
type applyCommand struct {
	proposal
	File string `arg:"positional,required" help:"JSON file with a ProposeRequest; see examples"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Newf("cannot read file %s", c.File)
	}
	var req wire.ProposeRequest
	if err := protojson.Unmarshal(text, &req); err != nil {
		return errors.Wrapf(errInvalid, "%s: %v", c.File, err)
	}
	if c.ChangeID == "" {
		c.ChangeID = req.GetChangeId()
	}
	if c.Base == 0 {
		c.Base = req.GetBaseVersion()
	}
	return c.propose(ctx, s, req.GetChanges()...)
}
