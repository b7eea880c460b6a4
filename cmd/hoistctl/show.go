package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// config fetches a version of the configuration; 0 stands for the active version.
func (s *session) config(ctx context.Context, version uint64) (*wire.Config, error) {
	resp, err := s.admin.GetConfig(ctx, connect.NewRequest(&wire.GetConfigRequest{Version: version}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetConfig(), nil
}

type historyCommand struct {
	Limit uint32 `arg:"--limit" default:"20"`
}

func (c *historyCommand) run(ctx context.Context, s *session) error {
	resp, err := s.admin.History(ctx, connect.NewRequest(&wire.HistoryRequest{Limit: c.Limit}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range resp.Msg.GetRecords() {
		at := time.UnixMilli(r.GetAtMs()).UTC().Format(time.RFC3339)
		rows = append(rows, cells(r.GetVersion(), at, r.GetOperator(), r.GetChangeId(), describe(r.GetChanges())))
	}
	return s.out.show(resp.Msg, "VERSION WHEN OPERATOR CHANGE WHAT", rows)
}

// describe returns a short description of changes.
func describe(changes []*wire.Change) string {
	var words []string
	for _, c := range changes {
		switch e := c.GetEdit().(type) {
		case *wire.Change_PutRoute:
			words = append(words, "put route "+e.PutRoute.GetName())
		case *wire.Change_PutPipeline:
			words = append(words, "put pipeline "+e.PutPipeline.GetName())
		case *wire.Change_PutAccount:
			words = append(words, "put account "+e.PutAccount.GetName())
		case *wire.Change_DeleteRoute:
			words = append(words, "delete route "+e.DeleteRoute)
		case *wire.Change_DeletePipeline:
			words = append(words, "delete pipeline "+e.DeletePipeline)
		case *wire.Change_DeleteAccount:
			words = append(words, "delete account "+e.DeleteAccount)
		}
	}
	return strings.Join(words, ", ")
}

type diffCommand struct {
	From uint64 `arg:"positional,required"`
	To   uint64 `arg:"positional,required"`
}

func (c *diffCommand) run(ctx context.Context, s *session) error {
	from, err := s.config(ctx, c.From)
	if err != nil {
		return err
	}
	to, err := s.config(ctx, c.To)
	if err != nil {
		return err
	}
	before, after := itemLines(from), itemLines(to)
	for _, line := range before {
		if !contains(after, line) {
			_, _ = fmt.Fprintln(s.out.w, "-", line)
		}
	}
	for _, line := range after {
		if !contains(before, line) {
			_, _ = fmt.Fprintln(s.out.w, "+", line)
		}
	}
	return nil
}

func contains(lines []string, line string) bool {
	for _, l := range lines {
		if l == line {
			return true
		}
	}
	return false
}

// itemLines returns one line for each route, pipeline and account of a configuration.
func itemLines(c *wire.Config) []string {
	var lines []string
	for _, r := range c.GetRoutes() {
		lines = append(lines, "route "+compact(r))
	}
	for _, p := range c.GetPipelines() {
		lines = append(lines, "pipeline "+compact(p))
	}
	for _, a := range c.GetAccounts() {
		lines = append(lines, "account "+compact(a))
	}
	return lines
}

func compact(m proto.Message) string {
	// protojson varies its white space randomly, which would show up as differences.
	return strings.ReplaceAll(protojson.MarshalOptions{}.Format(m), " ", "")
}

type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	resp, err := s.admin.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return err
	}
	var nodes, upstreams [][]string
	for _, n := range resp.Msg.GetNodes() {
		nodes = append(nodes, cells(n.GetName(), n.GetDataCentre(), n.GetVersion(), n.GetDraining(),
			n.GetHeardMs(), n.GetInProgress(), n.GetQueued()))
	}
	for _, u := range resp.Msg.GetUpstreams() {
		upstreams = append(upstreams, cells(u.GetName(), u.GetPool(), u.GetDataCentre(), u.GetKind(), u.GetState(),
			u.GetInFlight(), u.GetLimit(), fmt.Sprintf("%.1f", u.GetStepMs())))
	}
	if err := s.out.show(resp.Msg, "NODE DATA-CENTRE VERSION DRAINING HEARD-MS IN-PROGRESS QUEUED", nodes); err != nil || s.out.json {
		return err
	}
	return s.out.show(resp.Msg, "UPSTREAM POOL DATA-CENTRE KIND STATE IN-FLIGHT LIMIT STEP-MS", upstreams)
}
