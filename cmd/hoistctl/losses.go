package main

import (
	"os"

	"github.com/hoistjunction/hoistjunction/explain"
)

// lossesCommand prints what became of the requests that were lost or late, from
// log files. It speaks to no node.
type lossesCommand struct {
	Logs []string `arg:"positional,required" help:"log files of relay nodes; give all lines of one node each, or of several that begin with the node's name"`
}

func (c *lossesCommand) runOffline() error {
	account, err := explain.ReadSummary(c.Logs)
	if err != nil {
		return err
	}
	return account.Write(os.Stdout)
}
