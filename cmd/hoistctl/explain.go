package main

import (
	"os"

	"github.com/hoistjunction/hoistjunction/explain"
)

// explainCommand prints the log lines that concern one request. It reads log files and
// connects to no node.
type explainCommand struct {
	ID   string   `arg:"positional,required" help:"request ID chosen by the caller"`
	Logs []string `arg:"positional,required" help:"log files of relay nodes"`
}

func (c *explainCommand) runOffline() error { return explain.PrintRequest(os.Stdout, c.ID, c.Logs) }
