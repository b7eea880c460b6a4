package main

import (
	"os"

	"github.com/hoistjunction/hoistjunction/explain"
)

// lossesCommand prints the causes of lost and late requests. It reads log files and
// connects to no node.
type lossesCommand struct {
	Logs []string `arg:"positional,required" help:"log files of relay nodes; each holds all lines of one node, or lines of several nodes that begin with the node's name"`
}

func (c *lossesCommand) runOffline() error {
	account, err := explain.ReadSummary(c.Logs)
	if err != nil {
		return err
	}
	return account.Write(os.Stdout)
}
