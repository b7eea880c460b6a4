package main

import (
	"os"

	"github.com/hoistjunction/hoistjunction/explain"
)

// explainCommand prints what bears on one request, from log files. It speaks to
// no node.
type explainCommand struct {
	ID   string   `arg:"positional,required" help:"the caller's name of the request"`
	Logs []string `arg:"positional,required" help:"log files of relay nodes"`
}

func (c *explainCommand) runOffline() error { return explain.PrintRequest(os.Stdout, c.ID, c.Logs) }
