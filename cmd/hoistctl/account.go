package main

import (
	"context"
	"crypto/sha256"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/wire"
)

type accountCommand struct {
	Put    *accountPut    `arg:"subcommand:put" help:"create or change a client account"`
	List   *accountList   `arg:"subcommand:list"`
	Delete *accountDelete `arg:"subcommand:delete"`
}

type accountPut struct {
	proposal
	Name        string `arg:"positional,required"`
	KeyFile     string `arg:"--key-file,required" help:"file with the account's key; only the hash of the key is sent"`
	Weight      uint32 `arg:"--weight" default:"1" help:"weight of the account's share of capacity, relative to other accounts"`
	Priority    uint32 `arg:"--priority" default:"4" help:"from 0 (served first) to 9 (served last)"`
	MaxInFlight uint32 `arg:"--max-in-flight" help:"maximum number of requests in progress per node; 0 for no limit"`
}

func (c *accountPut) run(ctx context.Context, s *session) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return errors.Newf("read account key: cannot read file %s", c.KeyFile)
	}
	hash := sha256.Sum256([]byte(strings.TrimSpace(string(key))))
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_PutAccount{PutAccount: &wire.ClientAccount{
		Name: c.Name, KeyHash: hash[:], Weight: c.Weight, Priority: c.Priority, MaxInFlight: c.MaxInFlight,
	}}})
}

type accountList struct{}

func (c *accountList) run(ctx context.Context, s *session) error {
	config, err := s.config(ctx, 0)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, a := range config.GetAccounts() {
		rows = append(rows, cells(a.GetName(), a.GetWeight(), a.GetPriority(), a.GetMaxInFlight()))
	}
	return s.out.show(&wire.Config{Accounts: config.GetAccounts()}, "ACCOUNT WEIGHT PRIORITY MAX-IN-FLIGHT", rows)
}

type accountDelete struct {
	proposal
	Name string `arg:"positional,required"`
}

func (c *accountDelete) run(ctx context.Context, s *session) error {
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_DeleteAccount{DeleteAccount: c.Name}})
}
