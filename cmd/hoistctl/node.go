package main

import (
	"context"
	"fmt"
	"os"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/wire"
)

type leavingCommand struct {
	Upstream string `arg:"positional,required"`
}

func (c *leavingCommand) run(ctx context.Context, s *session) error {
	_, err := s.admin.MarkLeaving(ctx, connect.NewRequest(&wire.MarkLeavingRequest{Upstream: c.Upstream}))
	return err
}

type drainCommand struct{}

func (c *drainCommand) run(ctx context.Context, s *session) error {
	_, err := s.admin.Drain(ctx, connect.NewRequest(&wire.DrainRequest{}))
	return err
}

type logLevelCommand struct {
	Level string `arg:"positional,required" help:"debug, info, warn or error"`
}

func (c *logLevelCommand) run(ctx context.Context, s *session) error {
	_, err := s.admin.SetLogLevel(ctx, connect.NewRequest(&wire.SetLogLevelRequest{Level: c.Level}))
	return err
}

type recordCommand struct{}

func (c *recordCommand) run(ctx context.Context, s *session) error {
	resp, err := s.admin.Recording(ctx, connect.NewRequest(&wire.RecordingRequest{}))
	if err != nil {
		return err
	}
	if n := resp.Msg.GetDropped(); n > 0 {
		fmt.Fprintf(os.Stderr, "hoistctl: the oldest %d messages were dropped; this recording cannot be replayed\n", n)
	}
	_, err = s.out.w.Write(resp.Msg.GetLines())
	return err
}
